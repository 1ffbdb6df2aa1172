// The caller's side of a request: where the answer goes, streamed or whole.
#ifndef HAWTHORNNOTCH_SRC_ROUTER_CALLER_SINK_H_
#define HAWTHORNNOTCH_SRC_ROUTER_CALLER_SINK_H_

#include <boost/asio/awaitable.hpp>
#include <string>

#include "hawthornnotch/net/http_server.h"
#include "hawthornnotch/router/event_stream.h"
#include "hawthornnotch/router/rejection.h"

namespace hawthornnotch::router::internal {

// Writes one answer.  Once a write has failed the caller counts as gone and further writes do
// nothing, so that a claimed request can run on without its caller.
//
// Thread safety: used on the request's strand.
class caller_sink {
 public:
  caller_sink(net::response_writer& writer, std::string request_id)
      : writer_(writer), request_id_(std::move(request_id)) {}

  // One piece of a streamed answer; the first one sends the head.
  boost::asio::awaitable<void> write_stream(std::string_view bytes);
  // Ends a streamed answer as complete.
  boost::asio::awaitable<void> finish_stream();
  boost::asio::awaitable<void> send_whole(unsigned status, std::string content_type,
                                          std::string body);
  // Ends the answer with an error, in whatever form has begun.
  boost::asio::awaitable<void> reject(const rejection& why);

  [[nodiscard]] bool has_begun() const { return begun_; }
  [[nodiscard]] bool is_gone() const { return gone_; }

 private:
  void note(const status<net::net_failure>& result) { gone_ = gone_ || !result; }

  net::response_writer& writer_;
  std::string request_id_;
  bool begun_ = false;
  bool gone_ = false;
};

}  // namespace hawthornnotch::router::internal

#endif  // HAWTHORNNOTCH_SRC_ROUTER_CALLER_SINK_H_
