// Writes the response to the caller, streamed or buffered.
#ifndef HAWTHORNNOTCH_SRC_ROUTER_CALLER_SINK_H_
#define HAWTHORNNOTCH_SRC_ROUTER_CALLER_SINK_H_

#include <boost/asio/awaitable.hpp>
#include <string>

#include "hawthornnotch/net/http_server.h"
#include "hawthornnotch/router/event_stream.h"
#include "hawthornnotch/router/rejection.h"

namespace hawthornnotch::router::internal {

// Writes one response.
//
// Failures: after a write has failed, `is_gone` is true and further writes do nothing, so that a
// claimed request can complete without its caller.
// Thread safety: not thread safe; used on the request's strand.
class caller_sink {
 public:
  caller_sink(net::response_writer& writer, std::string request_id)
      : writer_(writer), request_id_(std::move(request_id)) {}

  // Writes one piece of a streamed response, preceded by the head on the first call.
  boost::asio::awaitable<void> write_stream(std::string_view bytes);
  // Ends a streamed response with `[DONE]`.
  boost::asio::awaitable<void> finish_stream();
  // Sends a buffered response.
  boost::asio::awaitable<void> send_response(unsigned status_code, std::string content_type,
                                             std::string body);
  // Sends the error as a response, or as the last event of a stream that has begun.
  boost::asio::awaitable<void> reject(const rejection& reason);

  [[nodiscard]] bool has_begun() const { return begun_; }
  [[nodiscard]] bool is_gone() const { return gone_; }

 private:
  void track_write(const status<net::net_failure>& result) { gone_ = gone_ || !result; }

  net::response_writer& writer_;
  std::string request_id_;
  bool begun_ = false;
  bool gone_ = false;
};

}  // namespace hawthornnotch::router::internal

#endif  // HAWTHORNNOTCH_SRC_ROUTER_CALLER_SINK_H_
