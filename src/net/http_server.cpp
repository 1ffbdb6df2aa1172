#include "hawthornnotch/net/http_server.h"

#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/strand.hpp>
#include <mutex>
#include <optional>

#include "beast_support.h"
#include "http_connection.h"

namespace hawthornnotch::net {

namespace internal {

// Listener state that outlives the handle for as long as connections use it.
class listener : public std::enable_shared_from_this<listener> {
 public:
  listener(asio::any_io_executor executor, server_limits limits, request_handler handler)
      : executor_(std::move(executor)),
        acceptor_(asio::make_strand(executor_)),
        shared_(std::make_shared<server_state>()) {
    shared_->limits.post(std::make_shared<const server_limits>(limits));
    shared_->handler = std::move(handler);
  }

  error_code bind(const endpoint& at) {
    error_code error;
    const auto address = asio::ip::make_address(at.address, error);
    if (error) {
      return error;
    }
    const tcp::endpoint local(address, at.port);
    if (acceptor_.open(local.protocol(), error)) {
      return error;
    }
    acceptor_.set_option(asio::socket_base::reuse_address(true), error);
    if (acceptor_.bind(local, error)) {
      return error;
    }
    acceptor_.listen(asio::socket_base::max_listen_connections, error);
    port_ = acceptor_.local_endpoint().port();
    return error;
  }

  void start() {
    asio::co_spawn(acceptor_.get_executor(), accept_loop(shared_from_this()), asio::detached);
  }

  void stop() {
    asio::post(acceptor_.get_executor(), [self = shared_from_this()] {
      error_code ignored;
      self->acceptor_.close(ignored);
    });
  }

  [[nodiscard]] std::uint16_t port() const { return port_; }
  [[nodiscard]] server_state& shared() { return *shared_; }

 private:
  static asio::awaitable<void> accept_loop(std::shared_ptr<listener> self) {
    while (self->acceptor_.is_open()) {
      auto [error, socket] =
          co_await self->acceptor_.async_accept(asio::make_strand(self->executor_), as_result);
      if (error == asio::error::operation_aborted || error == asio::error::bad_descriptor) {
        co_return;
      }
      if (error) {
        co_await self->pause_after_accept_failure();
        continue;
      }
      self->admit(std::move(socket));
    }
  }

  asio::awaitable<void> pause_after_accept_failure() {
    constexpr std::chrono::milliseconds pause(50);
    asio::steady_timer timer(acceptor_.get_executor(), pause);
    co_await timer.async_wait(as_result);
  }

  void admit(tcp::socket socket) {
    if (shared_->connections.load() >= shared_->limits.read()->connections) {
      error_code ignored;
      socket.close(ignored);
      return;
    }
    serve_connection(std::move(socket), shared_);
  }

  asio::any_io_executor executor_;
  tcp::acceptor acceptor_;
  std::shared_ptr<server_state> shared_;
  std::uint16_t port_ = 0;
};

class server_handle final : public http_server {
 public:
  explicit server_handle(std::shared_ptr<listener> inner) : inner_(std::move(inner)) {}
  ~server_handle() override { inner_->stop(); }

  server_handle(const server_handle&) = delete;
  server_handle& operator=(const server_handle&) = delete;

  [[nodiscard]] std::uint16_t port() const override { return inner_->port(); }
  void close_after_response() override { inner_->shared().closing = true; }
  void close_idle() override {
    server_state& shared = inner_->shared();
    const std::lock_guard lock(shared.idle_mutex);
    shared.closing_idle = true;
    for (const auto& [connection, close] : shared.close_by_connection) {
      close();
    }
  }
  void stop_accepting() override { inner_->stop(); }
  void update_limits(server_limits limits) override {
    inner_->shared().limits.post(std::make_shared<const server_limits>(limits));
  }
  [[nodiscard]] std::size_t open_connections() const override {
    return inner_->shared().connections.load();
  }
  [[nodiscard]] std::size_t open_requests() const override {
    return inner_->shared().requests.load();
  }

 private:
  std::shared_ptr<listener> inner_;
};

}  // namespace internal

result<std::unique_ptr<http_server>, net_failure> http_server::listen(
    boost::asio::any_io_executor executor, const endpoint& at, server_limits limits,
    request_handler handler) {
  auto inner =
      std::make_shared<internal::listener>(std::move(executor), limits, std::move(handler));
  if (const auto error = inner->bind(at)) {
    const bool taken = error == boost::asio::error::address_in_use;
    return failed{
        net_failure{taken ? net_failure_kind::address_in_use : net_failure_kind::resolve, false}};
  }
  inner->start();
  return std::unique_ptr<http_server>(std::make_unique<internal::server_handle>(std::move(inner)));
}

}  // namespace hawthornnotch::net
