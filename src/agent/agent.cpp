#include "hawthornnotch/agent/agent.h"

#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <thread>
#include <utility>
#include <vector>

#include "agent/agent_api.h"
#include "agent/agent_state.h"
#include "agent/engine_link.h"
#include "agent/exchange_loop.h"
#include "agent/platform_feed.h"
#include "agent/router_link.h"
#include "agent/timer.h"
#include "hawthornnotch/base/random.h"
#include "hawthornnotch/net/http_client.h"
#include "hawthornnotch/net/http_server.h"
#include "hawthornnotch/observe/log.h"
#include "hawthornnotch/platform/http_client.h"
#include "hawthornnotch/rpc/rpc_client.h"

namespace hawthornnotch::agent {

namespace asio = boost::asio;

namespace {

constexpr std::size_t max_idle_connections = 2;
constexpr std::size_t max_series = 200;
constexpr std::size_t max_connections = 512;
// How long the shutdown waits for requests in progress.
constexpr duration stop_timeout{5'000};
constexpr duration stop_poll_period{20};

entry_vm make_self(const agent_settings& settings, const std::string& incarnation) {
  const std::string& listed = settings.vm_incarnation;
  return {settings.vm,
          listed.empty() ? incarnation : listed,
          settings.failure_domain,
          settings.listen,
          settings.router,
          false};
}

class agent_process final : public agent {
 public:
  agent_process(agent_settings settings, const clock& time)
      : state_(make_state(std::move(settings), time)),
        context_(static_cast<int>(state_.settings.threads)),
        http_(net::http_client::create(max_idle_connections)),
        signals_(context_, SIGINT, SIGTERM) {}

  status<start_failure> open() {
    auto platform = platform::http_platform_client::create(context_.get_executor(),
                                                           state_.settings.platform, {}, *http_);
    if (!platform) {
      return failed{start_failure(platform.last_reason())};
    }
    platform_ = std::move(*platform);
    rpc::rpc_client_settings calls;
    calls.timeout = state_.settings.call_timeout;
    client_ = rpc::rpc_client::create(context_.get_executor(), *http_, calls);
    feed_ = platform_feed::create(state_, *platform_, *platform_);
    engines_ = std::make_unique<engine_link>(state_, *http_, *platform_);
    exchanges_ = std::make_unique<exchange_loop>(state_, *client_);
    router_ = std::make_unique<router_link>(state_, *client_);
    api_ = std::make_unique<agent_api>(state_, *feed_, *engines_, [this] { stop(); });
    return listen();
  }

  void run() override {
    signals_.async_wait([this](const boost::system::error_code& error, int) {
      if (!error) {
        stop();
      }
    });
    const auto executor = context_.get_executor();
    asio::co_spawn(executor, exchanges_->run(), asio::detached);
    asio::co_spawn(executor, router_->run(), asio::detached);
    asio::co_spawn(executor, feed_->run(), asio::detached);
    asio::co_spawn(executor, engines_->poll(), asio::detached);
    asio::co_spawn(executor, engines_->run_orders(), asio::detached);
    auto work = asio::make_work_guard(context_);
    std::vector<std::thread> threads;
    for (std::size_t index = 1; index < state_.settings.threads; ++index) {
      threads.emplace_back([this] { context_.run(); });
    }
    context_.run();
    for (auto& thread : threads) {
      thread.join();
    }
    close();
  }

  void stop() override {
    if (state_.stopping.exchange(true)) {
      return;
    }
    asio::co_spawn(context_, leave(), asio::detached);
  }

  std::uint16_t port() const override { return server_->port(); }

 private:
  static agent_state make_state(agent_settings settings, const clock& time) {
    std::string incarnation = make_incarnation();
    auto members = member::membership::create(make_self(settings, incarnation), incarnation,
                                              settings.membership, time);
    return {std::move(settings),
            time,
            std::move(incarnation),
            locked<member::membership>(std::move(members)),
            {},
            observe::metrics::create(max_series),
            {}};
  }

  status<start_failure> listen() {
    net::server_limits limits;
    limits.connections = max_connections;
    auto handler = [this](net::http_request request, net::response_writer& writer) {
      return api_->handle(std::move(request), writer);
    };
    auto server = net::http_server::listen(context_.get_executor(), state_.settings.listen, limits,
                                           std::move(handler));
    if (!server) {
      return failed{start_failure(server.last_reason())};
    }
    server_ = std::move(*server);
    return ok;
  }

  // Notifies peers, waits for requests in progress, then stops the threads.
  asio::awaitable<void> leave() {
    observe::log_event(observe::level::info, "agent_leaving", {});
    state_.members.with([](member::membership& members) { members.leave(); });
    engines_->release_lease();
    const time_point notice_end = state_.time.now() + state_.settings.leave_notice;
    do {
      co_await exchanges_->run_round();
      co_await sleep_for(state_.settings.push_period);
    } while (state_.time.now() < notice_end);
    feed_->stop();
    server_->close_after_response();
    server_->stop_accepting();
    const time_point deadline = state_.time.now() + stop_timeout;
    while (server_->open_requests() > 0 && state_.time.now() < deadline) {
      co_await sleep_for(stop_poll_period);
    }
    observe::log_event(observe::level::info, "agent_stopped", {});
    context_.stop();
  }

  // Called after the threads have ended.  RPC calls that block on the context complete only while
  // it runs, and destroying the client waits for them.
  void close() {
    std::atomic<bool> closed{false};
    std::thread context_runner([this, &closed] {
      while (!closed) {
        context_.restart();
        context_.run_for(std::chrono::milliseconds(stop_poll_period.ms));
      }
    });
    client_.reset();
    closed = true;
    context_runner.join();
  }

  agent_state state_;
  asio::io_context context_;
  std::unique_ptr<net::http_client> http_;
  asio::signal_set signals_;
  std::unique_ptr<platform::http_platform_client> platform_;
  std::unique_ptr<rpc::rpc_client> client_;
  std::shared_ptr<platform_feed> feed_;
  std::unique_ptr<engine_link> engines_;
  std::unique_ptr<exchange_loop> exchanges_;
  std::unique_ptr<router_link> router_;
  std::unique_ptr<agent_api> api_;
  std::unique_ptr<net::http_server> server_;
};

}  // namespace

result<std::unique_ptr<agent>, start_failure> agent::create(agent_settings settings,
                                                            const clock& time) {
  auto made = std::make_unique<agent_process>(std::move(settings), time);
  const auto opened = made->open();
  if (!opened) {
    return failed{opened.last_reason()};
  }
  return std::unique_ptr<agent>(std::move(made));
}

}  // namespace hawthornnotch::agent
