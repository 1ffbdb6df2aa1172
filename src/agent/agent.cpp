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

constexpr std::size_t idle_connections = 2;
constexpr std::size_t most_series = 200;
constexpr std::size_t most_connections = 512;
// How long the stop waits for calls that are still being answered.
constexpr duration longest_stop{5'000};
constexpr duration stop_look_period{20};

entry_vm self_of(const agent_settings& settings, const std::string& incarnation) {
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
      : board_(make_board(std::move(settings), time)),
        context_(static_cast<int>(board_.settings.threads)),
        http_(net::http_client::create(idle_connections)),
        signals_(context_, SIGINT, SIGTERM) {}

  status<start_failure> open() {
    auto platform = platform::http_platform_client::create(context_.get_executor(),
                                                           board_.settings.platform, {}, *http_);
    if (!platform) {
      return failed{start_failure(platform.last_reason())};
    }
    platform_ = std::move(*platform);
    rpc::rpc_client_settings calls;
    calls.timeout = board_.settings.call_timeout;
    client_ = rpc::rpc_client::create(context_.get_executor(), *http_, calls);
    feed_ = platform_feed::create(board_, *platform_, *platform_);
    engines_ = std::make_unique<engine_link>(board_, *http_, *platform_);
    exchanges_ = std::make_unique<exchange_loop>(board_, *client_);
    router_ = std::make_unique<router_link>(board_, *client_);
    front_ = std::make_unique<front>(board_, *feed_, *engines_, [this] { stop(); });
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
    asio::co_spawn(executor, engines_->order(), asio::detached);
    auto work = asio::make_work_guard(context_);
    std::vector<std::thread> threads;
    for (std::size_t index = 1; index < board_.settings.threads; ++index) {
      threads.emplace_back([this] { context_.run(); });
    }
    context_.run();
    for (auto& thread : threads) {
      thread.join();
    }
    close();
  }

  void stop() override {
    if (board_.stopping.exchange(true)) {
      return;
    }
    asio::co_spawn(context_, leave(), asio::detached);
  }

  std::uint16_t port() const override { return server_->port(); }

 private:
  static agent_board make_board(agent_settings settings, const clock& time) {
    std::string incarnation = make_incarnation();
    auto members = member::membership::create(self_of(settings, incarnation), incarnation,
                                              settings.membership, time);
    return {std::move(settings),
            time,
            std::move(incarnation),
            locked<member::membership>(std::move(members)),
            {},
            observe::metrics::create(most_series),
            {}};
  }

  status<start_failure> listen() {
    net::server_limits limits;
    limits.connections = most_connections;
    auto handler = [this](net::http_request request, net::response_writer& writer) {
      return front_->handle(std::move(request), writer);
    };
    auto server = net::http_server::listen(context_.get_executor(), board_.settings.listen, limits,
                                           std::move(handler));
    if (!server) {
      return failed{start_failure(server.last_reason())};
    }
    server_ = std::move(*server);
    return ok;
  }

  // Peers are told, calls in progress are answered, then the threads end.
  asio::awaitable<void> leave() {
    observe::log_event(observe::level::info, "agent_leaving", {});
    board_.members.with([](member::membership& members) { members.leave(); });
    engines_->release_lease();
    const time_point until = board_.time.now() + board_.settings.leave_notice;
    do {
      co_await exchanges_->tell_peers();
      co_await sleep_for(board_.settings.push_period);
    } while (board_.time.now() < until);
    feed_->stop();
    server_->close_after_response();
    server_->stop_accepting();
    const time_point latest = board_.time.now() + longest_stop;
    while (server_->open_requests() > 0 && board_.time.now() < latest) {
      co_await sleep_for(stop_look_period);
    }
    observe::log_event(observe::level::info, "agent_stopped", {});
    context_.stop();
  }

  // After the threads have ended: blocked calls are woken by a last turn of the context.
  void close() {
    std::atomic<bool> closed{false};
    std::thread turner([this, &closed] {
      while (!closed) {
        context_.restart();
        context_.run_for(std::chrono::milliseconds(stop_look_period.ms));
      }
    });
    client_.reset();
    closed = true;
    turner.join();
  }

  agent_board board_;
  asio::io_context context_;
  std::unique_ptr<net::http_client> http_;
  asio::signal_set signals_;
  std::unique_ptr<platform::http_platform_client> platform_;
  std::unique_ptr<rpc::rpc_client> client_;
  std::shared_ptr<platform_feed> feed_;
  std::unique_ptr<engine_link> engines_;
  std::unique_ptr<exchange_loop> exchanges_;
  std::unique_ptr<router_link> router_;
  std::unique_ptr<front> front_;
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
