#include "request_write.h"

#include <utility>

#include "socket_peek.h"

namespace hawthornnotch::net::internal {

request_write::request_write(std::shared_ptr<beast::tcp_stream> stream, request_message message)
    : stream_(std::move(stream)),
      message_(std::move(message)),
      end_(stream_->get_executor(), asio::steady_timer::time_point::max()) {}

std::shared_ptr<request_write> request_write::start(std::shared_ptr<beast::tcp_stream> stream,
                                                    request_message message) {
  std::shared_ptr<request_write> started(
      new request_write(std::move(stream), std::move(message)));  // NOLINT: private constructor
  http::async_write(
      *started->stream_, started->message_,
      [started](const error_code& error, std::size_t /*count*/) { started->end(error); });
  return started;
}

void request_write::end(const error_code& error) {
  ended_ = true;
  error_ = error;
  end_.cancel();
}

asio::awaitable<error_code> request_write::find_break() {
  // Nothing can be sent any more, so the write is about to end.
  if (!ended_ && has_hung_up(stream_->socket())) {
    co_await end_.async_wait(as_result);
  }
  // A reset that comes after the end of the peer's side is reported as a broken pipe.
  co_return error_ == asio::error::broken_pipe ? error_code() : error_;
}

}  // namespace hawthornnotch::net::internal
