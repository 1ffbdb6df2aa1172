#include "http_connection.h"

#include <boost/asio/bind_executor.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <optional>
#include <tuple>

#include "message_head.h"
#include "socket_peek.h"

namespace hawthornnotch::net::internal {

namespace {

constexpr const char* unreadable_request_body =
    R"({"error":{"type":"invalid_request_error","code":"unreadable_request",)"
    R"("message":"the request could not be read","outcome":"not_run"}})";

using request_parser = http::request_parser<http::string_body>;

constexpr std::string_view continue_response = "HTTP/1.1 100 Continue\r\n\r\n";
// Received bytes after a head that form an incomplete chunk header or trailer.
constexpr std::size_t max_unparsed_bytes = 128 * 1024;

// \returns whether two parsers of this head could disagree on where its body ends or on its host.
bool is_ambiguous(const http::request_header<>& head) {
  if (has_ambiguous_body(head)) {
    return true;
  }
  constexpr unsigned http_1_1 = 11;
  const std::size_t hosts = head.count(http::field::host);
  return hosts > 1 || (hosts == 0 && head.version() >= http_1_1);
}

void copy_headers(const header_list& from, http::fields& into) {
  for (const auto& [name, value] : from) {
    into.insert(name, value);
  }
}

http_request to_request(http::request<http::string_body> message) {
  http_request request;
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  for (const auto& field : message) {
    request.headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
  }
  request.body = std::move(message.body());
  return request;
}

// Detects that the peer disconnects while its request is being handled.
class disconnect_monitor {
 public:
  void start(tcp::socket& socket) {
    // A cancelled wait may complete after the next one has started, so each has its own flag.
    armed_ = std::make_shared<bool>(true);
    disconnected_ = false;
    wait(socket);
  }
  void stop(tcp::socket& socket) {
    *armed_ = false;
    error_code ignored;
    socket.cancel(ignored);
  }
  void on_disconnect(std::function<void()> callback) {
    callback_ = std::move(callback);
    if (disconnected_) {
      notify();
    }
  }
  disconnect_monitor() = default;
  disconnect_monitor(const disconnect_monitor&) = delete;
  disconnect_monitor& operator=(const disconnect_monitor&) = delete;
  ~disconnect_monitor() { *armed_ = false; }

 private:
  void wait(tcp::socket& socket) {
    socket.async_wait(tcp::socket::wait_read, [this, &socket, armed = armed_](error_code error) {
      if (!*armed) {
        return;
      }
      const peek_result peeked = error ? peek_result::end : peek(socket);
      if (peeked == peek_result::end) {
        disconnected_ = true;
        notify();
      } else if (peeked == peek_result::none) {
        wait(socket);
      }
    });
  }
  void notify() {
    auto callback = std::exchange(callback_, nullptr);
    if (callback) {
      callback();
    }
  }

  std::shared_ptr<bool> armed_ = std::make_shared<bool>(false);
  bool disconnected_ = false;
  std::function<void()> callback_;
};

class connection final : public response_writer {
 public:
  connection(tcp::socket socket, std::shared_ptr<server_state> shared)
      : stream_(std::move(socket)), shared_(std::move(shared)) {
    ++shared_->connections;
    error_code ignored;
    stream_.socket().set_option(tcp::no_delay(true), ignored);
  }
  ~connection() override {
    *alive_ = false;
    --shared_->connections;
  }

  connection(const connection&) = delete;
  connection& operator=(const connection&) = delete;

  asio::awaitable<void> run() {
    bool keep_open = true;
    while (keep_open) {
      keep_open = co_await serve_one();
    }
    error_code ignored;
    stream_.socket().shutdown(tcp::socket::shutdown_send, ignored);
  }

  asio::awaitable<status<net_failure>> send(http_response response) override {
    http::response<http::string_body> message;
    message.result(response.status);
    message.version(version_);
    copy_headers(response.headers, message);
    message.keep_alive(keep_alive());
    message.body() = std::move(response.body);
    message.prepare_payload();
    response_started_ = true;
    stream_.expires_after(to_chrono(limits().write_timeout));
    const auto [error, count] = co_await http::async_write(stream_, message, as_result);
    co_return to_status(error);
  }

  asio::awaitable<status<net_failure>> start(unsigned code, header_list headers) override {
    http::response<http::empty_body> message;
    message.result(code);
    message.version(version_);
    copy_headers(headers, message);
    message.keep_alive(keep_alive());
    message.chunked(true);
    response_started_ = true;
    http::response_serializer<http::empty_body> serializer(message);
    stream_.expires_after(to_chrono(limits().write_timeout));
    const auto [error, count] = co_await http::async_write_header(stream_, serializer, as_result);
    co_return to_status(error);
  }

  asio::awaitable<status<net_failure>> write(std::string_view bytes) override {
    if (bytes.empty()) {
      co_return ok;
    }
    stream_.expires_after(to_chrono(limits().write_timeout));
    const auto [error, count] = co_await asio::async_write(
        stream_, http::make_chunk(asio::buffer(bytes.data(), bytes.size())), as_result);
    co_return to_status(error);
  }

  asio::awaitable<status<net_failure>> finish() override {
    stream_.expires_after(to_chrono(limits().write_timeout));
    const auto [error, count] =
        co_await asio::async_write(stream_, http::make_chunk_last(), as_result);
    co_return to_status(error);
  }

  void abort() override {
    aborted_ = true;
    error_code ignored;
    stream_.socket().set_option(asio::socket_base::linger(true, 0), ignored);
    stream_.socket().close(ignored);
  }

  void on_peer_disconnect(std::function<void()> callback) override {
    disconnect_monitor_.on_disconnect(std::move(callback));
  }

  bool peer_connected() override { return peek(stream_.socket()) != peek_result::end; }

 private:
  [[nodiscard]] server_limits limits() const { return *shared_->limits.read(); }
  [[nodiscard]] bool keep_alive() const {
    return peer_keeps_alive_ && !shared_->send_connection_close;
  }

  status<net_failure> to_status(const error_code& error) {
    if (!error) {
      return ok;
    }
    aborted_ = true;
    return failed{net_failure{to_failure_kind(error), false}};
  }

  // Serves one request. \returns whether another one may follow on this connection.
  asio::awaitable<bool> serve_one() {
    std::optional<http_request> request = co_await read_request();
    if (!request) {
      co_return false;
    }
    response_started_ = false;
    has_served_ = true;
    ++shared_->requests;
    stream_.expires_never();
    disconnect_monitor_.start(stream_.socket());
    co_await shared_->handler(std::move(*request), *this);
    disconnect_monitor_.stop(stream_.socket());
    disconnect_monitor_.on_disconnect(nullptr);
    --shared_->requests;
    co_return response_started_ && !aborted_ && keep_alive();
  }

  asio::awaitable<std::optional<http_request>> read_request() {
    request_parser parser;
    parser.header_limit(limits().header_bytes);
    parser.body_limit(limits().body_bytes);
    buffer_.max_size(limits().header_bytes + max_unparsed_bytes);
    const bool buffer_is_empty = buffer_.size() == 0;
    if (buffer_is_empty) {
      const bool has_begun = co_await wait_for_first_byte();
      if (!has_begun) {
        co_return std::nullopt;
      }
    }
    error_code error = co_await read_request_head(parser);
    if (!error) {
      error = co_await read_body(parser);
    }
    if (error) {
      co_await reject(error);
      co_return std::nullopt;
    }
    version_ = parser.get().version();
    peer_keeps_alive_ = parser.get().keep_alive();
    co_return to_request(parser.release());
  }

  asio::awaitable<error_code> read_request_head(request_parser& parser) {
    stream_.expires_after(to_chrono(limits().head_timeout));
    const error_code error = co_await read_head(stream_, buffer_, parser, limits().header_bytes);
    if (!error && is_ambiguous(parser.get())) {
      co_return http::error::bad_transfer_encoding;
    }
    co_return error;
  }

  asio::awaitable<error_code> read_body(request_parser& parser) {
    if (parser.is_done()) {
      co_return error_code();
    }
    stream_.expires_after(to_chrono(limits().read_timeout));
    if (beast::iequals(parser.get()[http::field::expect], "100-continue")) {
      const auto [error, count] =
          co_await asio::async_write(stream_, asio::buffer(continue_response), as_result);
      if (error) {
        co_return error;
      }
    }
    const auto [error, count] = co_await http::async_read(stream_, buffer_, parser, as_result);
    co_return error;
  }

  asio::awaitable<bool> wait_for_first_byte() {
    if (!enter_idle()) {
      co_return false;
    }
    stream_.expires_after(to_chrono(limits().idle_timeout));
    const auto [error, count] =
        co_await stream_.async_read_some(buffer_.prepare(head_read_bytes), as_result);
    leave_idle();
    buffer_.commit(count);
    co_return !error;
  }

  // \returns false if idle connections are to be closed. A connection that has not carried a
  // request yet may still wait for its first one.
  bool enter_idle() {
    const std::lock_guard lock(shared_->idle_mutex);
    if (shared_->closing_idle) {
      return !has_served_;
    }
    shared_->idle_closers[this] = [this, alive = alive_] {
      asio::post(stream_.get_executor(), [this, alive] {
        if (*alive && idle_) {
          stream_.cancel();
        }
      });
    };
    idle_ = true;
    return true;
  }

  void leave_idle() {
    const std::lock_guard lock(shared_->idle_mutex);
    shared_->idle_closers.erase(this);
    idle_ = false;
  }

  // Responds to an unreadable request with the status that names the error.
  asio::awaitable<void> reject(const error_code& error) {
    unsigned code = 400;
    if (error == http::error::body_limit) {
      code = 413;
    } else if (error == http::error::header_limit) {
      code = 431;
    } else if (error == beast::error::timeout) {
      code = 408;
    } else if (to_failure_kind(error) == net_failure_kind::closed) {
      co_return;
    }
    peer_keeps_alive_ = false;
    http_response response;
    response.status = code;
    response.headers.emplace_back("Content-Type", "application/json");
    response.body = unreadable_request_body;
    std::ignore = co_await send(std::move(response));
  }

  beast::tcp_stream stream_;
  std::shared_ptr<server_state> shared_;
  beast::flat_buffer buffer_;
  disconnect_monitor disconnect_monitor_;
  unsigned version_ = 11;
  bool peer_keeps_alive_ = false;
  bool response_started_ = false;
  bool has_served_ = false;
  bool idle_ = false;
  bool aborted_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

asio::awaitable<void> run_connection(std::unique_ptr<connection> owned) { co_await owned->run(); }

}  // namespace

void serve_connection(tcp::socket socket, std::shared_ptr<server_state> shared) {
  const auto executor = socket.get_executor();
  auto owned = std::make_unique<connection>(std::move(socket), std::move(shared));
  asio::co_spawn(executor, run_connection(std::move(owned)), asio::detached);
}

}  // namespace hawthornnotch::net::internal
