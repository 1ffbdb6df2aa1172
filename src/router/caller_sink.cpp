#include "caller_sink.h"

namespace hawthornnotch::router::internal {

namespace asio = boost::asio;

asio::awaitable<void> caller_sink::write_stream(std::string_view bytes) {
  if (gone_) {
    co_return;
  }
  if (!begun_) {
    begun_ = true;
    net::header_list headers;
    headers.emplace_back("Content-Type", "text/event-stream");
    headers.emplace_back("Cache-Control", "no-cache");
    headers.emplace_back("x-request-id", request_id_);
    track_write(co_await writer_.start(200, std::move(headers)));
  }
  if (!gone_) {
    track_write(co_await writer_.write(bytes));
  }
}

asio::awaitable<void> caller_sink::finish_stream() {
  co_await write_stream(done_event);
  if (!gone_) {
    track_write(co_await writer_.finish());
  }
}

asio::awaitable<void> caller_sink::send_response(unsigned status_code, std::string content_type,
                                                 std::string body) {
  if (gone_) {
    co_return;
  }
  begun_ = true;
  net::http_response response;
  response.status = status_code;
  response.headers.emplace_back("Content-Type", std::move(content_type));
  response.headers.emplace_back("x-request-id", request_id_);
  response.body = std::move(body);
  track_write(co_await writer_.send(std::move(response)));
}

asio::awaitable<void> caller_sink::reject(const rejection& reason) {
  if (gone_) {
    co_return;
  }
  if (!begun_) {
    begun_ = true;
    track_write(co_await writer_.send(to_response(reason, request_id_)));
    co_return;
  }
  // A stream that has begun ends with an error event instead of [DONE].
  const std::string event = write_data_event(error_body(reason));
  track_write(co_await writer_.write(event));
  if (!gone_) {
    track_write(co_await writer_.finish());
  }
}

}  // namespace hawthornnotch::router::internal
