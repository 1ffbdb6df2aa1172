#include "http_connection.h"

#include <boost/asio/bind_executor.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <optional>
#include <tuple>

namespace hawthornnotch::net::internal {

namespace {

constexpr const char* unreadable_request =
    R"({"error":{"type":"invalid_request_error","code":"unreadable_request",)"
    R"("message":"the request could not be read","outcome":"not_run"}})";

using request_parser = http::request_parser<http::string_body>;

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

// Notices a peer that goes away while its request is being handled.
class departure_watch {
 public:
  void start(tcp::socket& socket) {
    // A cancelled wait may complete after the next one has begun; its own flag tells it apart.
    armed_ = std::make_shared<bool>(true);
    gone_ = false;
    socket.async_wait(tcp::socket::wait_read, [this, &socket, armed = armed_](error_code error) {
      if (!*armed) {
        return;
      }
      if (error || at_end(socket)) {
        gone_ = true;
        notify();
      }
    });
  }
  void stop(tcp::socket& socket) {
    *armed_ = false;
    error_code ignored;
    socket.cancel(ignored);
  }
  void on_gone(std::function<void()> callback) {
    callback_ = std::move(callback);
    if (gone_) {
      notify();
    }
  }
  departure_watch() = default;
  departure_watch(const departure_watch&) = delete;
  departure_watch& operator=(const departure_watch&) = delete;
  ~departure_watch() { *armed_ = false; }

 private:
  static bool at_end(tcp::socket& socket) {
    char byte = 0;
    error_code error;
    const std::size_t count =
        socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return (error && error != asio::error::would_block) || (!error && count == 0);
  }
  void notify() {
    auto callback = std::exchange(callback_, nullptr);
    if (callback) {
      callback();
    }
  }

  std::shared_ptr<bool> armed_ = std::make_shared<bool>(false);
  bool gone_ = false;
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
  ~connection() override { --shared_->connections; }

  connection(const connection&) = delete;
  connection& operator=(const connection&) = delete;

  asio::awaitable<void> run() {
    bool may_go_on = true;
    while (may_go_on) {
      may_go_on = co_await serve_one();
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
    answered_ = true;
    stream_.expires_after(to_chrono(shared_->limits.write_timeout));
    const auto [error, count] = co_await http::async_write(stream_, message, as_result);
    co_return outcome(error);
  }

  asio::awaitable<status<net_failure>> start(unsigned code, header_list headers) override {
    http::response<http::empty_body> message;
    message.result(code);
    message.version(version_);
    copy_headers(headers, message);
    message.keep_alive(keep_alive());
    message.chunked(true);
    answered_ = true;
    http::response_serializer<http::empty_body> serializer(message);
    stream_.expires_after(to_chrono(shared_->limits.write_timeout));
    const auto [error, count] = co_await http::async_write_header(stream_, serializer, as_result);
    co_return outcome(error);
  }

  asio::awaitable<status<net_failure>> write(std::string_view bytes) override {
    if (bytes.empty()) {
      co_return ok;
    }
    stream_.expires_after(to_chrono(shared_->limits.write_timeout));
    const auto [error, count] = co_await asio::async_write(
        stream_, http::make_chunk(asio::buffer(bytes.data(), bytes.size())), as_result);
    co_return outcome(error);
  }

  asio::awaitable<status<net_failure>> finish() override {
    stream_.expires_after(to_chrono(shared_->limits.write_timeout));
    const auto [error, count] =
        co_await asio::async_write(stream_, http::make_chunk_last(), as_result);
    co_return outcome(error);
  }

  void abort() override {
    broken_ = true;
    error_code ignored;
    stream_.socket().set_option(asio::socket_base::linger(true, 0), ignored);
    stream_.socket().close(ignored);
  }

  void on_peer_gone(std::function<void()> callback) override {
    departure_.on_gone(std::move(callback));
  }

 private:
  [[nodiscard]] bool keep_alive() const { return peer_keeps_alive_ && !shared_->closing; }

  status<net_failure> outcome(const error_code& error) {
    if (!error) {
      return ok;
    }
    broken_ = true;
    return failed{net_failure{kind_of(error), false}};
  }

  // \returns whether another request may follow on this connection.
  asio::awaitable<bool> serve_one() {
    std::optional<http_request> request = co_await read_request();
    if (!request) {
      co_return false;
    }
    answered_ = false;
    ++shared_->requests;
    stream_.expires_never();
    departure_.start(stream_.socket());
    co_await shared_->handler(std::move(*request), *this);
    departure_.stop(stream_.socket());
    departure_.on_gone(nullptr);
    --shared_->requests;
    co_return answered_ && !broken_ && keep_alive();
  }

  asio::awaitable<std::optional<http_request>> read_request() {
    request_parser parser;
    parser.header_limit(shared_->limits.header_bytes);
    parser.body_limit(shared_->limits.body_bytes);
    const bool fresh = buffer_.size() == 0;
    if (fresh) {
      const bool has_begun = co_await wait_for_first_byte();
      if (!has_begun) {
        co_return std::nullopt;
      }
    }
    stream_.expires_after(to_chrono(shared_->limits.read_timeout));
    const auto [error, count] = co_await http::async_read(stream_, buffer_, parser, as_result);
    if (error) {
      co_await refuse(error);
      co_return std::nullopt;
    }
    version_ = parser.get().version();
    peer_keeps_alive_ = parser.get().keep_alive();
    co_return to_request(parser.release());
  }

  asio::awaitable<bool> wait_for_first_byte() {
    stream_.expires_after(to_chrono(shared_->limits.idle_timeout));
    constexpr std::size_t first_read_bytes = 4096;
    const auto [error, count] =
        co_await stream_.async_read_some(buffer_.prepare(first_read_bytes), as_result);
    buffer_.commit(count);
    co_return !error;
  }

  // Answers what can't be read as a request with the status that says why.
  asio::awaitable<void> refuse(const error_code& error) {
    unsigned code = 400;
    if (error == http::error::body_limit) {
      code = 413;
    } else if (error == http::error::header_limit) {
      code = 431;
    } else if (error == beast::error::timeout) {
      code = 408;
    } else if (kind_of(error) == net_failure_kind::closed) {
      co_return;
    }
    peer_keeps_alive_ = false;
    http_response response;
    response.status = code;
    response.headers.emplace_back("Content-Type", "application/json");
    response.body = unreadable_request;
    std::ignore = co_await send(std::move(response));
  }

  beast::tcp_stream stream_;
  std::shared_ptr<server_state> shared_;
  beast::flat_buffer buffer_;
  departure_watch departure_;
  unsigned version_ = 11;
  bool peer_keeps_alive_ = false;
  bool answered_ = false;
  bool broken_ = false;
};

asio::awaitable<void> run_connection(std::unique_ptr<connection> owned) { co_await owned->run(); }

}  // namespace

void serve_connection(tcp::socket socket, std::shared_ptr<server_state> shared) {
  const auto executor = socket.get_executor();
  auto owned = std::make_unique<connection>(std::move(socket), std::move(shared));
  asio::co_spawn(executor, run_connection(std::move(owned)), asio::detached);
}

}  // namespace hawthornnotch::net::internal
