// The write of a request, which goes on while its response is read.
#ifndef HAWTHORNNOTCH_SRC_NET_REQUEST_WRITE_H_
#define HAWTHORNNOTCH_SRC_NET_REQUEST_WRITE_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>

#include "beast_support.h"

namespace hawthornnotch::net::internal {

using request_message = http::request<http::string_body>;

// Holds the stream and the message, since the write may end after its exchange.
//
// Thread safety: use from the stream's strand only.
class request_write {
 public:
  [[nodiscard]] static std::shared_ptr<request_write> start(
      std::shared_ptr<beast::tcp_stream> stream, request_message message);

  // \returns whether the operating system has taken the whole request.
  [[nodiscard]] bool complete() const { return ended_ && !error_; }

  // The operating system reports a broken connection once, to the call that asks first. Where that
  // was this write, a read sees the same end of the input as after an orderly close.
  // \pre a read has seen the end of the input.
  // \returns the error that broke the connection; none if the peer had ended its side before.
  asio::awaitable<error_code> find_break();

 private:
  request_write(std::shared_ptr<beast::tcp_stream> stream, request_message message);
  void end(const error_code& error);

  std::shared_ptr<beast::tcp_stream> stream_;
  request_message message_;
  bool ended_ = false;
  error_code error_;
  // Cancelled when the write ends.
  asio::steady_timer end_;
};

}  // namespace hawthornnotch::net::internal

#endif  // HAWTHORNNOTCH_SRC_NET_REQUEST_WRITE_H_
