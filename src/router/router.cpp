#include "hawthornnotch/router/router.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <thread>
#include <tuple>

#include "caller_api.h"
#include "hawthornnotch/base/random.h"
#include "hawthornnotch/observe/log.h"
#include "hawthornnotch/platform/http_client.h"
#include "operator_api.h"

namespace hawthornnotch::router {

namespace internal {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds claim_tick_period(20);
constexpr std::chrono::milliseconds stop_check_period(20);
// Time to respond to requests that were still arriving when the last known one ended.
constexpr std::chrono::milliseconds final_response_grace(500);
constexpr std::size_t max_series = 10'000;
constexpr std::size_t id_prefix_length = 12;

// Suspended coroutines refer to members of the router, so they must be destroyed before them.
class releasable_context : public asio::io_context {
 public:
  using asio::io_context::io_context;
  // Destroys all suspended coroutines.  No thread may be in `run`.
  void release_coroutines() { shutdown(); }
};

// The components whose creation can fail.
struct owned_components {
  std::unique_ptr<net::http_client> http;
  std::unique_ptr<platform::http_platform_client> platform;
  std::unique_ptr<policy::scheduler> scheduler;
  std::unique_ptr<claim::claim_service> claims;
};

}  // namespace

class router_process final : public router {
 public:
  explicit router_process(router_settings settings)
      : settings_(std::move(settings)),
        incarnation_(make_incarnation()),
        context_(static_cast<int>(settings_.threads)),
        phases_(settings_.stop, time_) {}
  ~router_process() override { context_.release_coroutines(); }

  router_process(const router_process&) = delete;
  router_process& operator=(const router_process&) = delete;

  std::optional<start_failure> start();
  bool run() override;
  void begin_stop() override;
  [[nodiscard]] std::uint16_t caller_port() const override { return caller_server_->port(); }
  [[nodiscard]] std::uint16_t operator_port() const override { return operator_server_->port(); }

 private:
  std::optional<start_failure> create_components();
  void create_apis();
  std::optional<start_failure> open_listeners();
  result<std::unique_ptr<net::http_server>, start_failure> listen(const endpoint& listen_endpoint,
                                                                  net::server_limits limits,
                                                                  net::request_handler handler);
  asio::awaitable<void> tick_claims();
  asio::awaitable<void> end_when_drained();
  [[nodiscard]] std::size_t unsettled_claims() const;

  const router_settings settings_;
  const std::string incarnation_;
  system_clock time_;
  releasable_context context_;
  lifecycle phases_;
  control_state control_;
  owned_components components_;
  std::unique_ptr<observe::metrics> metrics_ = observe::metrics::create(max_series);
  std::unique_ptr<observe::decision_ring> decisions_;
  std::unique_ptr<observe::request_outcomes> outcomes_;
  std::unique_ptr<decision_dispatcher> dispatcher_;
  std::unique_ptr<router_components> shared_;
  std::unique_ptr<internal::caller_api> caller_api_;
  std::unique_ptr<internal::operator_api> operator_api_;
  std::unique_ptr<net::http_server> caller_server_;
  std::unique_ptr<net::http_server> operator_server_;
  std::atomic<bool> requests_cut_{false};
};

std::optional<start_failure> router_process::create_components() {
  components_.http = net::http_client::create(settings_.backend.idle_connections);
  auto platform = platform::http_platform_client::create(
      context_.get_executor(), settings_.platform, platform::call_limits{}, *components_.http);
  if (!platform) {
    return platform.last_reason();
  }
  components_.platform = std::move(*platform);
  auto scheduler = policy::scheduler::create(settings_.scheduler, time_, settings_.seed);
  if (!scheduler) {
    return scheduler.last_reason();
  }
  components_.scheduler = std::move(*scheduler);
  auto claims =
      claim::claim_service::create(settings_.claims, *components_.platform, time_, incarnation_);
  if (!claims) {
    return claims.last_reason();
  }
  components_.claims = std::move(*claims);
  return std::nullopt;
}

void router_process::create_apis() {
  decisions_ = observe::decision_ring::create(settings_.explain_capacity);
  outcomes_ = observe::request_outcomes::create(*metrics_, time_);
  dispatcher_ = std::make_unique<decision_dispatcher>(*components_.scheduler);
  shared_ = std::make_unique<router_components>(router_components{
      settings_, time_, control_, *components_.scheduler, *dispatcher_, *components_.claims,
      *components_.http, *metrics_, *decisions_, *outcomes_});
  caller_api_ = std::make_unique<internal::caller_api>(*shared_, phases_,
                                                       incarnation_.substr(0, id_prefix_length));
  internal::operator_api::process_hooks hooks;
  hooks.incarnation = incarnation_;
  hooks.begin_stop = [this] { begin_stop(); };
  hooks.counts = [this] {
    return caller_server_ ? listener_counts{caller_server_->open_connections(),
                                            caller_server_->open_requests()}
                          : listener_counts{};
  };
  operator_api_ = std::make_unique<internal::operator_api>(*shared_, phases_, std::move(hooks));
}

result<std::unique_ptr<net::http_server>, start_failure> router_process::listen(
    const endpoint& listen_endpoint, net::server_limits limits, net::request_handler handler) {
  auto server = net::http_server::listen(context_.get_executor(), listen_endpoint, limits,
                                         std::move(handler));
  if (!server) {
    return failed{start_failure(listen_failure{listen_endpoint, server.last_reason().kind})};
  }
  return std::move(*server);
}

std::optional<start_failure> router_process::open_listeners() {
  auto operators = listen(settings_.operator_listen, settings_.caller_limits,
                          [this](net::http_request request, net::response_writer& writer) {
                            return operator_api_->handle(std::move(request), writer);
                          });
  if (!operators) {
    return operators.last_reason();
  }
  operator_server_ = std::move(*operators);
  auto callers = listen(settings_.listen, settings_.caller_limits,
                        [this](net::http_request request, net::response_writer& writer) {
                          return caller_api_->handle(std::move(request), writer);
                        });
  if (!callers) {
    return callers.last_reason();
  }
  caller_server_ = std::move(*callers);
  return std::nullopt;
}

std::optional<start_failure> router_process::start() {
  if (auto failure = create_components()) {
    return failure;
  }
  create_apis();
  if (auto failure = open_listeners()) {
    return failure;
  }
  asio::co_spawn(asio::make_strand(context_), dispatcher_->pump_periodically(), asio::detached);
  asio::co_spawn(asio::make_strand(context_), tick_claims(), asio::detached);
  return std::nullopt;
}

asio::awaitable<void> router_process::tick_claims() {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  while (true) {
    timer.expires_after(claim_tick_period);
    std::ignore = co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    components_.claims->tick();
  }
}

std::size_t router_process::unsettled_claims() const {
  const claim::claim_view claims = components_.claims->view();
  return claims.settling + claims.owned + claims.claiming;
}

asio::awaitable<void> router_process::end_when_drained() {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  while (!phases_.may_exit(caller_server_->open_requests(), unsettled_claims())) {
    timer.expires_after(stop_check_period);
    std::ignore = co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  timer.expires_after(final_response_grace);
  std::ignore = co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  requests_cut_ = caller_server_->open_requests() > 0;
  observe::log_event(observe::level::info, "stopped", {{"cut", requests_cut_.load()}});
  context_.stop();
}

void router_process::begin_stop() {
  if (!phases_.begin_stop()) {
    return;
  }
  observe::log_event(observe::level::info, "stopping", {});
  caller_server_->close_after_response();
  asio::co_spawn(asio::make_strand(context_), end_when_drained(), asio::detached);
}

bool router_process::run() {
  std::vector<std::thread> threads;
  for (std::uint32_t index = 1; index < settings_.threads; ++index) {
    threads.emplace_back([this] { context_.run(); });
  }
  context_.run();
  for (std::thread& thread : threads) {
    thread.join();
  }
  return !requests_cut_;
}

}  // namespace internal

std::string describe(const start_failure& failure) {
  return std::visit(
      overloaded{
          [](const listen_failure& listener) {
            return "cannot listen on " + listener.listen_endpoint.address + ":" +
                   std::to_string(listener.listen_endpoint.port) + ": " +
                   std::string(net::to_string(listener.kind));
          },
          [](policy::scheduler_failure group) {
            return "policy settings out of range, group " + std::to_string(static_cast<int>(group));
          },
          [](claim::claim_failure kind) {
            return "claim settings out of range, kind " + std::to_string(static_cast<int>(kind));
          },
          [](const platform::platform_failure&) {
            return std::string("no address of the platform service is configured");
          },
      },
      failure);
}

result<std::unique_ptr<router>, start_failure> router::create(router_settings settings) {
  auto made = std::make_unique<internal::router_process>(std::move(settings));
  if (auto failure = made->start()) {
    return failed{std::move(*failure)};
  }
  return std::unique_ptr<router>(std::move(made));
}

}  // namespace hawthornnotch::router
