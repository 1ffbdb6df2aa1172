#include "hawthornnotch/net/http_client.h"

#include "beast_support.h"
#include "connection_pool.h"

namespace hawthornnotch::net {

namespace internal {

namespace {

using response_parser = http::response_parser<http::buffer_body>;

http::request<http::string_body> to_message(const endpoint& to, http_request request) {
  http::request<http::string_body> message;
  message.method_string(request.method);
  message.target(request.target);
  message.set(http::field::host, to.address + ":" + std::to_string(to.port));
  for (const auto& [name, value] : request.headers) {
    message.set(name, value);
  }
  message.body() = std::move(request.body);
  message.keep_alive(true);
  message.prepare_payload();
  return message;
}

failed<net_failure> fail(const error_code& error, bool request_may_have_left) {
  return failed{net_failure{kind_of(error), request_may_have_left}};
}

}  // namespace

// One request and its answer on one connection.
class exchange final : public response_stream {
 public:
  exchange(std::shared_ptr<connection_pool> pool, endpoint to, exchange_limits limits)
      : pool_(std::move(pool)), to_(std::move(to)), limits_(std::move(limits)) {
    parser_.body_limit(limits_.body_bytes);
    if (limits_.breaker) {
      limits_.breaker->attach([this] { cancel(); });
    }
  }
  ~exchange() override {
    if (limits_.breaker) {
      limits_.breaker->attach(nullptr);
    }
    give_back();
  }

  exchange(const exchange&) = delete;
  exchange& operator=(const exchange&) = delete;

  asio::awaitable<status<net_failure>> connect() {
    const asio::any_io_executor executor = co_await asio::this_coro::executor;
    if (limits_.reuse_connection) {
      if (auto idle = pool_->take(to_, executor)) {
        stream_ = std::make_unique<beast::tcp_stream>(std::move(*idle));
        co_return ok;
      }
    }
    stream_ = std::make_unique<beast::tcp_stream>(executor);
    error_code error;
    const auto address = asio::ip::make_address(to_.address, error);
    if (error) {
      co_return failed{net_failure{net_failure_kind::resolve, false}};
    }
    stream_->expires_after(to_chrono(limits_.connect_timeout));
    const auto [connected] =
        co_await stream_->async_connect(tcp::endpoint(address, to_.port), as_result);
    if (connected) {
      stream_.reset();
      co_return failed{net_failure{net_failure_kind::connect, false}};
    }
    stream_->socket().set_option(tcp::no_delay(true), error);
    co_return ok;
  }

  asio::awaitable<status<net_failure>> send(http_request request) {
    if (is_broken_off() || (limits_.may_send && !limits_.may_send())) {
      co_return failed{net_failure{net_failure_kind::cancelled, false}};
    }
    const http::request<http::string_body> message = to_message(to_, std::move(request));
    stream_->expires_after(to_chrono(limits_.head_timeout));
    const auto [error, count] = co_await http::async_write(*stream_, message, as_result);
    if (error) {
      co_return fail(error, true);
    }
    co_return ok;
  }

  asio::awaitable<status<net_failure>> read_head() {
    stream_->expires_after(to_chrono(limits_.head_timeout));
    const auto [error, count] =
        co_await http::async_read_header(*stream_, buffer_, parser_, as_result);
    if (error) {
      co_return failed{
          net_failure{cancelled_ ? net_failure_kind::cancelled : kind_of(error), true}};
    }
    head_.status = parser_.get().result_int();
    for (const auto& field : parser_.get()) {
      head_.headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
    }
    co_return ok;
  }

  [[nodiscard]] const http_response& head() const override { return head_; }

  asio::awaitable<result<std::string, net_failure>> read() override {
    constexpr std::size_t chunk_bytes = 16 * 1024;
    if (cancelled_) {
      co_return failed{net_failure{net_failure_kind::cancelled, true}};
    }
    std::string chunk;
    while (chunk.empty() && !parser_.is_done()) {
      chunk.resize(chunk_bytes);
      parser_.get().body().data = chunk.data();
      parser_.get().body().size = chunk.size();
      stream_->expires_after(to_chrono(limits_.read_timeout));
      const auto [error, count] =
          co_await http::async_read_some(*stream_, buffer_, parser_, as_result);
      chunk.resize(chunk_bytes - parser_.get().body().size);
      if (error && error != http::error::need_buffer) {
        co_return failed{
            net_failure{cancelled_ ? net_failure_kind::cancelled : kind_of(error), true}};
      }
    }
    co_return chunk;
  }

  void cancel() override {
    cancelled_ = true;
    if (stream_) {
      stream_->cancel();
      error_code ignored;
      stream_->socket().close(ignored);
    }
  }

 private:
  [[nodiscard]] bool is_broken_off() const {
    return cancelled_ || (limits_.breaker && limits_.breaker->cancelled());
  }

  // Keeps the connection only when the whole answer was read.
  void give_back() {
    const bool whole = stream_ && parser_.is_done() && buffer_.size() == 0;
    if (!whole || cancelled_ || !parser_.keep_alive()) {
      return;
    }
    stream_->expires_never();
    pool_->put(to_, stream_->release_socket());
  }

  std::shared_ptr<connection_pool> pool_;
  endpoint to_;
  exchange_limits limits_;
  std::unique_ptr<beast::tcp_stream> stream_;
  beast::flat_buffer buffer_;
  response_parser parser_;
  http_response head_;
  bool cancelled_ = false;
};

class pooling_client final : public http_client {
 public:
  explicit pooling_client(std::size_t idle_per_endpoint)
      : pool_(std::make_shared<connection_pool>(idle_per_endpoint)) {}

  asio::awaitable<result<std::unique_ptr<response_stream>, net_failure>> open(
      endpoint to, http_request request, exchange_limits limits) override {
    auto opened = std::make_unique<exchange>(pool_, std::move(to), std::move(limits));
    if (auto connected = co_await opened->connect(); !connected) {
      co_return failed{connected.last_reason()};
    }
    if (auto sent = co_await opened->send(std::move(request)); !sent) {
      co_return failed{sent.last_reason()};
    }
    if (auto head = co_await opened->read_head(); !head) {
      co_return failed{head.last_reason()};
    }
    co_return std::unique_ptr<response_stream>(std::move(opened));
  }

  asio::awaitable<result<http_response, net_failure>> fetch(endpoint to, http_request request,
                                                            exchange_limits limits) override {
    auto opened = co_await open(std::move(to), std::move(request), std::move(limits));
    if (!opened) {
      co_return failed{opened.last_reason()};
    }
    http_response response = (*opened)->head();
    while (true) {
      auto piece = co_await (*opened)->read();
      if (!piece) {
        co_return failed{piece.last_reason()};
      }
      if (piece->empty()) {
        break;
      }
      response.body += *piece;
    }
    co_return response;
  }

 private:
  std::shared_ptr<connection_pool> pool_;
};

}  // namespace internal

std::unique_ptr<http_client> http_client::create(std::size_t idle_per_endpoint) {
  return std::make_unique<internal::pooling_client>(idle_per_endpoint);
}

}  // namespace hawthornnotch::net
