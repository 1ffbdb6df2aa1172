#include "hawthornnotch/gateway/gateway.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <map>
#include <string>
#include <tuple>
#include <utility>

#include "crash_guard.h"
#include "duty_runner.h"
#include "forward_link.h"
#include "gateway_state.h"
#include "hawthornnotch/base/hash.h"
#include "hawthornnotch/net/http_server.h"
#include "hawthornnotch/observe/log.h"
#include "limit_events.h"
#include "load_sharing.h"
#include "origin_link.h"
#include "path_monitor.h"
#include "peer_link.h"
#include "proxied_request.h"
#include "server_ordering.h"
#include "store_registration.h"
#include "store_sync.h"
#include "stream_records.h"
#include "usage_recorder.h"
#include "usage_reports.h"

namespace hawthornnotch::gateway {

namespace internal {

namespace asio = boost::asio;
using observe::level;
using observe::log_event;

namespace {

/// Time for the balancer to detect that the process is not ready: two probes one second apart, plus
/// connections already on their way.
constexpr duration balancer_detection_time{2'800};
/// Part of the grace time that is reserved for the process's own exit.
constexpr duration stop_reserve{400};
/// Time before the end at which requests that are still open are answered.
constexpr duration last_answers_time{150};
constexpr std::chrono::milliseconds drain_poll_period{50};
/// Idle connections are limits for this multiple of the configured timeout: callers go by the
/// configuration that they know, whose timeout may be longer than the one in force here.
constexpr std::int64_t idle_timeout_factor = 2;
/// File descriptors reserved for files, listeners, the store and peers.
constexpr std::uint32_t reserved_descriptors = 264;
constexpr std::size_t idle_connections_per_server = 64;
constexpr duration idle_lifetime{30'000};
/// Applies where the server states no idle timeout.
constexpr duration default_idle_lifetime{2'000};

relay::peer make_own_peer(const gateway_settings& settings, const clock& time) {
  relay::peer self;
  self.vm = settings.vm;
  self.failure_domain = settings.failure_domain;
  self.address = settings.peers;
  self.incarnation = make_incarnation();
  self.heartbeat = static_cast<std::uint64_t>(time.wall().ms);
  self.declares_versions = true;
  return self;
}

net::idle_connections idle_connection_limits() {
  net::idle_connections limits;
  limits.per_endpoint = idle_connections_per_server;
  limits.lifetime = idle_lifetime;
  limits.default_lifetime = default_idle_lifetime;
  return limits;
}

}  // namespace

// An event loop whose pending operations can be destroyed before it, and with them the coroutines
// that wait for these.
class event_loop : public asio::io_context {
 public:
  using asio::io_context::io_context;
  void destroy_pending() {
    shutdown();
    // A coroutine that is destroyed posts its unwinding.
    shutdown();
  }
};

class gateway_impl final : public gateway {
 public:
  gateway_impl(gateway_settings settings, const protocol& wire,
               std::unique_ptr<net::http_client> http)
      : shared_(settings, wire, make_own_peer(settings, system_clock()),
                stable_hash(make_incarnation())),
        updater_(shared_, {[this] { on_change(); }, [this] { on_restore(); },
                           [this](auto services) { on_versions_mixed(services); }}),
        paths_(shared_, context_.get_executor()),
        forwards_(shared_, paths_),
        crashes_(shared_, paths_, forwards_, context_.get_executor(),
                 [this] { link_.spread_news(); }),
        link_(shared_, updater_, crashes_, context_.get_executor()),
        origins_(shared_, context_.get_executor()),
        ordering_(shared_, context_.get_executor()),
        load_sharing_(shared_, context_.get_executor()),
        stop_timer_(context_) {
    shared_.http = std::move(http);
    shared_.dispatcher.limits().start(shared_.settings.vm, shared_.time.now());
    if (shared_.settings.duties) {
      usage_.emplace(shared_, context_.get_executor());
      shared_.usage = shared_.settings.duties->performs(duty_kind_usage) ? &*usage_ : nullptr;
    }
  }

  // Requests that are still open refer to the members.
  ~gateway_impl() override { context_.destroy_pending(); }
  gateway_impl(const gateway_impl&) = delete;
  gateway_impl& operator=(const gateway_impl&) = delete;

  status<net::net_failure> listen(const store_factory& make_store,
                                  const control_factory& make_control) {
    const auto executor = context_.get_executor();
    store_ = make_store(executor, shared_.settings.store, *shared_.http);
    config_.emplace(shared_, updater_, *store_, executor);
    list_.emplace(shared_, updater_, *store_, executor);
    registration_.emplace(shared_, *store_, executor);
    stream_records_.emplace(shared_, *store_, executor);
    create_duties(make_control);
    store_->on_era([this](std::int64_t era) { updater_.observe_era(era, "store"); });
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
      return serve_peer(std::move(request), writer);
    };
    auto metrics = [this](net::http_request request, net::response_writer& writer) {
      return answer_metrics(std::move(request), writer);
    };
    net::server_limits peer_limits;
    peer_limits.header_bytes = max_peer_header_bytes;
    peer_limits.body_bytes = max_peer_body_bytes;
    const auto readiness_status = listen_at(settings.readiness, {}, readiness, readiness_);
    const auto peer_status = listen_at(settings.peers, peer_limits, peers, peers_);
    const auto metrics_status = listen_at(settings.metrics, {}, metrics, metrics_);
    const auto caller_status = listen_at(settings.callers, limits, callers, callers_);
    for (const auto* bound : {&readiness_status, &peer_status, &metrics_status, &caller_status}) {
      if (!*bound) {
        return failed{bound->last_reason()};
      }
    }
    shared_.peers.set_own_address({settings.peers.address, peers_->port()});
    return ok;
  }

  bool run() override {
    config_->start();
    list_->start();
    registration_->start();
    stream_records_->start();
    if (duties_) {
      duties_->start();
    }
    link_.start();
    if (usage_) {
      usage_->start();
    }
    if (shared_.settings.duties && shared_.settings.duties->performs(duty_kind_scale)) {
      ordering_.start();
    }
    load_sharing_.start();
    context_.run();
    return all_requests_finished_;
  }

  void begin_stop() override {
    asio::post(context_, [this] { start_drain(); });
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
  static constexpr std::uint32_t max_peer_header_bytes = 256 * 1024;
  static constexpr std::uint64_t max_peer_body_bytes = 16 * 1024 * 1024;

  [[nodiscard]] net::server_limits caller_limits() const {
    net::server_limits limits;
    const std::uint32_t descriptors = shared_.settings.descriptors;
    const std::uint32_t usable_descriptors =
        descriptors - std::min(descriptors / 2, reserved_descriptors);
    limits.connections = std::max(1U, usable_descriptors / 2);
    if (const auto& table = shared_.config.current()) {
      const routes::caller_limits& configured = table->config().limits;
      limits.header_bytes = configured.header_bytes;
      limits.body_bytes = configured.body_bytes;
      limits.head_timeout = configured.header_timeout;
      limits.idle_timeout = configured.idle_timeout * idle_timeout_factor;
    }
    return limits;
  }

  void create_duties(const control_factory& make_control) {
    if (shared_.settings.duties && make_control) {
      control_ = make_control(shared_.settings.duties->control, *shared_.http);
      duties_.emplace(shared_, *store_, *control_, context_.get_executor());
      if (shared_.settings.duties->performs(duty_kind_scale)) {
        duties_->set_orders({[this](time_point /*now*/) { return ordering_.orders(); },
                             [this](const duties::server_order& order, duties::call_outcome outcome,
                                    time_point /*now*/) { ordering_.on_outcome(order, outcome); }});
      }
      if (shared_.usage != nullptr) {
        usage_reports_.emplace(usage_->reporter(), shared_.era);
        duties_->set_usage(*usage_reports_);
      }
    }
  }

  asio::awaitable<void> serve_caller(net::http_request request, net::response_writer& writer) {
    proxied_request::stream_resumption resumption{origins_, *stream_records_, *list_};
    const proxied_request::server_access access{paths_, forwards_};
    proxied_request run(shared_, updater_, crashes_, resumption, access, writer,
                        context_.get_executor());
    co_await run.run(std::move(request));
  }

  asio::awaitable<void> serve_peer(net::http_request request, net::response_writer& writer) {
    if (forward_link::is_forwarded(request)) {
      return forwards_.handle(std::move(request), writer);
    }
    return origin_link::is_for_origins(request) ? origins_.handle(std::move(request), writer)
                                                : link_.handle_exchange(std::move(request), writer);
  }

  [[nodiscard]] bool ready() const { return !shared_.stopping && shared_.can_route(); }

  asio::awaitable<void> answer_readiness(net::http_request request, net::response_writer& writer) {
    net::http_response response;
    const bool known_path = request.target == shared_.wire.readiness_path();
    response.status = !known_path ? 404 : ready() ? 200 : 503;
    std::ignore = co_await writer.send(std::move(response));
  }

  asio::awaitable<void> answer_metrics(net::http_request /*request*/,
                                       net::response_writer& writer) {
    net::http_response response;
    update_gauges();
    response.headers.emplace_back("Content-Type", "text/plain; version=0.0.4");
    response.body = shared_.metrics->exposition();
    std::ignore = co_await writer.send(std::move(response));
  }

  void update_gauges() {
    observe::metrics& shown = *shared_.metrics;
    const time_point now = shared_.time.now();
    const auto age = shared_.servers.age(now);
    shown.gauge("hawthornnotch_config_version", {}, static_cast<double>(shared_.config.version()));
    shown.gauge("hawthornnotch_store_era", {}, static_cast<double>(shared_.era.current()));
    shown.gauge("hawthornnotch_list_age_ms", {}, age ? static_cast<double>(age->ms) : -1.0);
    shown.gauge("hawthornnotch_live_entry_vms", {},
                static_cast<double>(shared_.peers.live_count(now)));
    update_limit_gauges(shared_, now);
    crashes_.update_gauges();
    if (duties_) {
      duties_->update_gauges();
    }
    paths_.update_gauges();
    if (usage_) {
      usage_->update_gauges();
    }
    ordering_.update_gauges();
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
    link_.notify_peers();
  }

  void on_versions_mixed(std::span<const std::string> services) {
    origins_.on_versions_mixed(services);
    if (stream_records_) {
      stream_records_->on_versions_mixed();
    }
  }

  void on_restore() {
    if (registration_) {
      registration_->on_store_restored();
    }
    if (stream_records_) {
      stream_records_->on_store_restored();
    }
    if (duties_) {
      duties_->on_store_restored();
    }
    if (usage_) {
      usage_->reporter().on_store_restored(shared_.era.current(), shared_.time.now());
    }
  }

  void start_drain() {
    if (shared_.stopping) {
      return;
    }
    shared_.stopping = true;
    drain_started_at_ = shared_.time.now();
    shared_.ends_at =
        drain_started_at_ + (shared_.settings.stop_grace - stop_reserve) - last_answers_time;
    shared_.peers.leave();
    callers_->close_after_response();
    link_.notify_peers();
    log_event(level::info, "stopping", {{"open_requests", callers_->open_requests()}});
    check_drained();
  }

  // A request that is ended may leave the map while the others are told.
  void end_open_requests() {
    for (const auto& [request, end] : std::map(shared_.open_requests)) {
      if (shared_.open_requests.contains(request)) {
        end();
      }
    }
  }

  void check_drained() {
    const duration passed = shared_.time.now() - drain_started_at_;
    const bool noticed = passed >= balancer_detection_time;
    const bool grace_over = passed >= shared_.settings.stop_grace - stop_reserve;
    const std::size_t open = callers_->open_requests() + forwards_.open_attempts();
    if (noticed) {
      shared_.balancer_detected_stop = true;
      callers_->close_idle();
    }
    if (open > 0 && shared_.time.now() >= *shared_.ends_at) {
      end_open_requests();
      forwards_.cancel_attempts();
    }
    if ((noticed && open == 0) || grace_over) {
      all_requests_finished_ = open == 0;
      log_event(level::info, "stopped", {{"after_ms", passed.ms}, {"cut_requests", open}});
      context_.stop();
      return;
    }
    stop_timer_.expires_after(drain_poll_period);
    stop_timer_.async_wait([this](const boost::system::error_code& error) {
      if (!error) {
        check_drained();
      }
    });
  }

  event_loop context_{1};
  gateway_state shared_;
  state_updater updater_;
  path_monitor paths_;
  forward_link forwards_;
  crash_guard crashes_;
  peer_link link_;
  origin_link origins_;
  server_ordering ordering_;
  load_sharing load_sharing_;
  std::unique_ptr<platform::long_poll_store> store_;
  std::optional<config_watcher> config_;
  std::optional<server_list_poller> list_;
  std::optional<store_registration> registration_;
  std::optional<stream_records> stream_records_;
  std::optional<usage_recorder> usage_;
  std::optional<usage_reports> usage_reports_;
  std::unique_ptr<control_plane> control_;
  std::optional<duty_runner> duties_;
  std::unique_ptr<net::http_server> callers_;
  std::unique_ptr<net::http_server> readiness_;
  std::unique_ptr<net::http_server> peers_;
  std::unique_ptr<net::http_server> metrics_;
  asio::steady_timer stop_timer_;
  time_point drain_started_at_;
  bool all_requests_finished_ = true;
};

}  // namespace internal

result<std::unique_ptr<gateway>, net::net_failure> gateway::create(
    gateway_settings settings, const protocol& wire, const store_factory& make_store,
    std::unique_ptr<net::http_client> http, const control_factory& make_control) {
  auto made = std::make_unique<internal::gateway_impl>(std::move(settings), wire, std::move(http));
  if (auto listening = made->listen(make_store, make_control); !listening) {
    return failed{listening.last_reason()};
  }
  return std::unique_ptr<gateway>(std::move(made));
}

std::unique_ptr<net::http_client> gateway::make_http_client() {
  return net::http_client::create(internal::idle_connection_limits());
}

}  // namespace hawthornnotch::gateway
