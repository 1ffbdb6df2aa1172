#include "hawthornnotch/gateway/gateway.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <string>
#include <tuple>
#include <utility>

#include "hawthornnotch/base/hash.h"
#include "hawthornnotch/net/http_server.h"
#include "hawthornnotch/observe/log.h"
#include "peer_link.h"
#include "request_run.h"
#include "state.h"
#include "store_follower.h"
#include "store_registration.h"

namespace hawthornnotch::gateway {

namespace internal {

namespace asio = boost::asio;
using observe::level;
using observe::log_event;

namespace {

/// Time in which the balancer notices that the process is not ready: two questions a second apart,
/// and the connections that were on their way.
constexpr duration balancer_notice{2'800};
/// Kept of the grace time for the end of the process itself.
constexpr duration stop_reserve{400};
constexpr std::chrono::milliseconds stop_tick{50};
/// Connections are kept idle for this multiple of the configured time, since callers go by the
/// configuration that they know, which may allow more than the one in force here.
constexpr std::int64_t idle_factor = 2;
/// Descriptors kept for files, listeners, the store and peers.
constexpr std::uint32_t reserved_descriptors = 264;
constexpr std::size_t idle_per_server = 64;
constexpr duration idle_lifetime{30'000};
constexpr duration unstated_idle_lifetime{2'000};

relay::peer make_self(const gateway_settings& settings, const clock& time) {
  relay::peer self;
  self.vm = settings.vm;
  self.failure_domain = settings.failure_domain;
  self.address = settings.peers;
  self.incarnation = make_incarnation();
  self.heartbeat = static_cast<std::uint64_t>(time.wall().ms);
  return self;
}

net::idle_connections kept_connections() {
  net::idle_connections kept;
  kept.per_endpoint = idle_per_server;
  kept.lifetime = idle_lifetime;
  kept.default_lifetime = unstated_idle_lifetime;
  return kept;
}

}  // namespace

class process final : public gateway {
 public:
  process(gateway_settings settings, const protocol& wire)
      : shared_(settings, wire, make_self(settings, system_clock()),
                stable_hash(make_incarnation())),
        known_(shared_, {[this] { on_change(); }, [this] { on_restore(); }}),
        link_(shared_, known_, context_.get_executor()),
        stop_timer_(context_) {
    shared_.http = net::http_client::create(kept_connections());
  }

  status<net::net_failure> listen(const store_factory& make_store) {
    const auto executor = context_.get_executor();
    store_ = make_store(executor, shared_.settings.store, *shared_.http);
    config_.emplace(shared_, known_, *store_, executor);
    list_.emplace(shared_, known_, *store_, executor);
    registration_.emplace(shared_, *store_, executor);
    store_->on_era([this](std::int64_t era) { known_.hear_era(era, "store"); });
    const gateway_settings& settings = shared_.settings;
    const net::server_limits limits = caller_limits();
    auto listen_at = [&](const endpoint& at, net::server_limits with, net::request_handler handler,
                         std::unique_ptr<net::http_server>& into) -> status<net::net_failure> {
      auto made = net::http_server::listen(executor, at, with, std::move(handler));
      if (!made) {
        return failed{made.last_reason()};
      }
      into = std::move(*made);
      return ok;
    };
    auto callers = [this](net::http_request request, net::response_writer& writer) {
      return serve_caller(std::move(request), writer);
    };
    auto readiness = [this](net::http_request request, net::response_writer& writer) {
      return answer_readiness(std::move(request), writer);
    };
    auto peers = [this](net::http_request request, net::response_writer& writer) {
      return link_.handle(std::move(request), writer);
    };
    auto metrics = [this](net::http_request request, net::response_writer& writer) {
      return answer_metrics(std::move(request), writer);
    };
    net::server_limits peer_limits;
    peer_limits.body_bytes = most_peer_bytes;
    const auto ready_door = listen_at(settings.readiness, {}, readiness, readiness_);
    const auto peer_door = listen_at(settings.peers, peer_limits, peers, peers_);
    const auto metrics_door = listen_at(settings.metrics, {}, metrics, metrics_);
    const auto caller_door = listen_at(settings.callers, limits, callers, callers_);
    for (const auto* door : {&ready_door, &peer_door, &metrics_door, &caller_door}) {
      if (!*door) {
        return failed{door->last_reason()};
      }
    }
    return ok;
  }

  bool run() override {
    config_->start();
    list_->start();
    registration_->start();
    link_.start();
    context_.run();
    return finished_all_;
  }

  void begin_stop() override {
    asio::post(context_, [this] { stop_now(); });
  }

  void reload(gateway_settings settings) override {
    asio::post(context_, [this, settings = std::move(settings)] {
      if (settings.seeds == shared_.settings.seeds &&
          settings.retries == shared_.settings.retries) {
        return;
      }
      shared_.settings.seeds = settings.seeds;
      shared_.settings.retries = settings.retries;
      shared_.peers.set_seeds(settings.seeds);
      shared_.retries.set(settings.retries);
      log_event(level::info, "settings_reloaded", {{"seeds", settings.seeds.size()}});
    });
  }

  [[nodiscard]] asio::any_io_executor executor() override { return context_.get_executor(); }
  [[nodiscard]] std::uint16_t caller_port() const override { return callers_->port(); }
  [[nodiscard]] std::uint16_t readiness_port() const override { return readiness_->port(); }
  [[nodiscard]] std::uint16_t peer_port() const override { return peers_->port(); }
  [[nodiscard]] std::uint16_t metrics_port() const override { return metrics_->port(); }

 private:
  static constexpr std::uint64_t most_peer_bytes = 16 * 1024 * 1024;

  [[nodiscard]] net::server_limits caller_limits() const {
    net::server_limits limits;
    const std::uint32_t descriptors = shared_.settings.descriptors;
    const std::uint32_t usable = descriptors - std::min(descriptors / 2, reserved_descriptors);
    limits.connections = std::max(1U, usable / 2);
    if (const auto& table = shared_.config.current()) {
      const routes::caller_limits& configured = table->config().limits;
      limits.header_bytes = configured.header_bytes;
      limits.body_bytes = configured.body_bytes;
      limits.head_timeout = configured.header_timeout;
      limits.idle_timeout = configured.idle_timeout * idle_factor;
    }
    return limits;
  }

  asio::awaitable<void> serve_caller(net::http_request request, net::response_writer& writer) {
    request_run run(shared_, known_, writer, context_.get_executor());
    co_await run.run(std::move(request));
  }

  [[nodiscard]] bool ready() const { return !shared_.stopping && shared_.knows_enough(); }

  asio::awaitable<void> answer_readiness(net::http_request request, net::response_writer& writer) {
    net::http_response response;
    const bool known_path = request.target == shared_.wire.readiness_path();
    response.status = !known_path ? 404 : ready() ? 200 : 503;
    std::ignore = co_await writer.send(std::move(response));
  }

  asio::awaitable<void> answer_metrics(net::http_request /*request*/,
                                       net::response_writer& writer) {
    net::http_response response;
    show_gauges();
    response.headers.emplace_back("Content-Type", "text/plain; version=0.0.4");
    response.body = shared_.metrics->exposition();
    std::ignore = co_await writer.send(std::move(response));
  }

  void show_gauges() {
    observe::metrics& shown = *shared_.metrics;
    const time_point now = shared_.time.now();
    const auto age = shared_.servers.age(now);
    shown.gauge("hawthornnotch_config_version", {}, static_cast<double>(shared_.config.version()));
    shown.gauge("hawthornnotch_store_era", {}, static_cast<double>(shared_.era.current()));
    shown.gauge("hawthornnotch_list_age_ms", {}, age ? static_cast<double>(age->ms) : -1.0);
    shown.gauge("hawthornnotch_live_entry_vms", {},
                static_cast<double>(shared_.peers.live_count(now)));
    shown.gauge("hawthornnotch_open_requests", {}, static_cast<double>(callers_->open_requests()));
    shown.gauge("hawthornnotch_open_connections", {},
                static_cast<double>(callers_->open_connections()));
    shown.gauge("hawthornnotch_dropped_log_lines", {},
                static_cast<double>(observe::dropped_lines()));
    for (const dispatch::server_summary& server : shared_.dispatcher.summary(now)) {
      shown.gauge("hawthornnotch_server_paused_ms", {{"server", server.id}},
                  static_cast<double>(server.paused_for.ms));
      shown.gauge("hawthornnotch_server_running", {{"server", server.id}}, server.running);
      shown.gauge("hawthornnotch_server_prefill_tokens", {{"server", server.id}},
                  static_cast<double>(server.prefill_tokens));
      shown.gauge("hawthornnotch_server_failure_share", {{"server", server.id}},
                  server.failure_share);
    }
  }

  void on_change() {
    if (callers_) {
      callers_->update_limits(caller_limits());
    }
    link_.tell_all();
  }

  void on_restore() {
    if (registration_) {
      registration_->begin_again();
    }
  }

  void stop_now() {
    if (shared_.stopping) {
      return;
    }
    shared_.stopping = true;
    stop_began_ = shared_.time.now();
    shared_.peers.leave();
    callers_->close_after_response();
    link_.tell_all();
    log_event(level::info, "stopping", {{"open_requests", callers_->open_requests()}});
    await_end();
  }

  void await_end() {
    const duration passed = shared_.time.now() - stop_began_;
    const bool noticed = passed >= balancer_notice;
    const bool grace_over = passed >= shared_.settings.stop_grace - stop_reserve;
    const std::size_t open = callers_->open_requests();
    if (noticed) {
      shared_.past_balancer_notice = true;
      callers_->close_idle();
    }
    if ((noticed && open == 0) || grace_over) {
      finished_all_ = open == 0;
      log_event(level::info, "stopped", {{"after_ms", passed.ms}, {"cut_requests", open}});
      context_.stop();
      return;
    }
    stop_timer_.expires_after(stop_tick);
    stop_timer_.async_wait([this](const boost::system::error_code& error) {
      if (!error) {
        await_end();
      }
    });
  }

  asio::io_context context_{1};
  state shared_;
  knowledge known_;
  peer_link link_;
  std::unique_ptr<platform::long_poll_store> store_;
  std::optional<config_follower> config_;
  std::optional<list_follower> list_;
  std::optional<store_registration> registration_;
  std::unique_ptr<net::http_server> callers_;
  std::unique_ptr<net::http_server> readiness_;
  std::unique_ptr<net::http_server> peers_;
  std::unique_ptr<net::http_server> metrics_;
  asio::steady_timer stop_timer_;
  time_point stop_began_;
  bool finished_all_ = true;
};

}  // namespace internal

result<std::unique_ptr<gateway>, net::net_failure> gateway::create(
    gateway_settings settings, const protocol& wire, const store_factory& make_store) {
  auto made = std::make_unique<internal::process>(std::move(settings), wire);
  if (auto listening = made->listen(make_store); !listening) {
    return failed{listening.last_reason()};
  }
  return std::unique_ptr<gateway>(std::move(made));
}

}  // namespace hawthornnotch::gateway
