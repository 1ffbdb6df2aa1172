#include "duty_runner.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <string>
#include <utility>

#include "hawthornnotch/observe/log.h"

namespace hawthornnotch::gateway::internal {

namespace asio = boost::asio;
using duties::call_outcome;
using observe::level;
using observe::log_event;

namespace {

constexpr duration tick_period{100};
/// Mean interval between reads of the lease's key by VMs that do not hold it, and the part of it by
/// which the interval of each VM differs, so that they do not read at the same time.
constexpr duration poll_interval{1'500};
constexpr double poll_jitter = 0.2;
/// The holder stops acting this part of the lease time before the lease can expire.
constexpr std::int64_t margin_divisor = 4;
/// Pause of all calls after the platform rejected one because of the rate.
constexpr duration rate_limited_pause{200};
constexpr double ms_per_second = 1'000.0;

duties::duty_holder_settings holder_settings(gateway_state& shared) {
  duties::duty_holder_settings out;
  out.vm = shared.settings.vm;
  out.lease_time = shared.settings.duties->lease;
  out.safety_margin = out.lease_time / margin_divisor;
  const double factor = 1 - poll_jitter + 2 * poll_jitter * shared.random.unit();
  out.poll_interval = {static_cast<std::int64_t>(factor * static_cast<double>(poll_interval.ms))};
  out.step_period = tick_period;
  return out;
}

std::string_view to_string(call_outcome outcome) {
  switch (outcome) {
    case call_outcome::accepted:
      return "accepted";
    case call_outcome::unavailable:
      return "unavailable";
    case call_outcome::rate_limited:
      return "rate_limited";
    case call_outcome::rejected:
      return "rejected";
    case call_outcome::failed:
      return "failed";
  }
  return "unknown";
}

void log_call(const duties::usage_report& report, call_outcome outcome, std::uint64_t fencing,
              duration took) {
  log_event(level::info, "usage_sent",
            {{"window", report.window},
             {"workspaces", report.counts.size()},
             {"outcome", to_string(outcome)},
             {"fencing", fencing},
             {"ms", took.ms}});
}

void log_call(const duties::server_order& order, call_outcome outcome, std::uint64_t fencing,
              duration took) {
  log_event(outcome == call_outcome::accepted ? level::info : level::warning, "server_order_sent",
            {{"service", order.service},
             {"failure_domain", order.failure_domain},
             {"desired", order.desired},
             {"preemptible", order.preemptible},
             {"outcome", to_string(outcome)},
             {"fencing", fencing},
             {"ms", took.ms}});
}

}  // namespace

duty_runner::duty_runner(gateway_state& shared, platform::key_value_store& store,
                         control_plane& control, const asio::any_io_executor& executor)
    : shared_(shared),
      store_(store),
      control_(control),
      executor_(executor),
      holder_(store, shared.time, shared.era, shared.records, holder_settings(shared)),
      call_interval_{static_cast<std::int64_t>(ms_per_second / shared.settings.duties->rate_per_s) +
                     1},
      ticker_(executor, tick_period, [this] { tick(); }) {}

void duty_runner::set_usage(duties::usage_source& source) {
  if (shared_.settings.duties->performs(duty_kind_usage)) {
    usage_.emplace(shared_, store_, holder_, source);
  }
}

void duty_runner::set_orders(order_source source) {
  if (shared_.settings.duties->performs(duty_kind_scale)) {
    orders_ = std::move(source);
  }
}

void duty_runner::update_gauges() {
  const std::uint64_t fencing = holder_.held_fencing();
  shared_.metrics->gauge("hawthornnotch_duty_holder", {}, fencing == 0 ? 0 : 1);
  shared_.metrics->gauge("hawthornnotch_duty_fencing", {}, static_cast<double>(fencing));
}

void duty_runner::tick() {
  const time_point now = shared_.time.now();
  const duties::duty_conditions conditions{shared_.peers.rank(now).in_domain == 0, shared_.stopping,
                                           call_.has_value()};
  if (const auto change = holder_.step(conditions, now)) {
    log_change(*change);
  }
  abort_outdated_call();
  if (!holder_.term(now)) {
    drop_orders(now);
  } else if (!making_calls_ && !shared_.stopping && now >= next_call_at_) {
    making_calls_ = true;
    asio::co_spawn(executor_, make_calls(), asio::detached);
  }
}

void duty_runner::log_change(const duties::term_change& change) {
  if (change.began) {
    log_event(level::info, "duties_taken", {{"fencing", change.fencing}});
    return;
  }
  log_event(level::info, "duties_ended",
            {{"fencing", change.fencing}, {"reason", lease::to_string(change.reason)}});
}

bool duty_runner::may_act(std::uint64_t fencing) const {
  const auto term = holder_.term(shared_.time.now());
  return term && term->fencing == fencing;
}

// A call that was sent before a short suspension goes on: its term has not ended.
void duty_runner::abort_outdated_call() {
  if (call_ && holder_.held_fencing() != call_->fencing) {
    call_->cancellation->cancel();
  }
}

asio::awaitable<void> duty_runner::make_calls() {
  asio::steady_timer timer(executor_);
  while (true) {
    const time_point now = shared_.time.now();
    const auto term = holder_.term(now);
    auto call = term && !shared_.stopping ? next_call(*term, now) : std::nullopt;
    if (!call) {
      break;
    }
    co_await make_call(std::move(*call), term->fencing);
    const duration pause = next_call_at_ - shared_.time.now();
    timer.expires_after(std::chrono::milliseconds(std::max<std::int64_t>(pause.ms, 0)));
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  making_calls_ = false;
}

std::optional<duty_runner::control_call> duty_runner::next_call(const duties::duty_term& term,
                                                                time_point now) {
  if (usage_) {
    if (auto report = usage_->next(term, now)) {
      return control_call(std::move(*report));
    }
  }
  return next_order(now);
}

std::optional<duty_runner::control_call> duty_runner::next_order(time_point now) {
  if (waiting_orders_.empty() && orders_.next) {
    for (duties::server_order& each : orders_.next(now)) {
      waiting_orders_.push_back(std::move(each));
    }
  }
  if (waiting_orders_.empty()) {
    return std::nullopt;
  }
  control_call call(std::move(waiting_orders_.front()));
  waiting_orders_.pop_front();
  return call;
}

asio::awaitable<void> duty_runner::make_call(control_call call, std::uint64_t fencing) {
  const time_point started_at = shared_.time.now();
  next_call_at_ = started_at + call_interval_;
  call_ = call_state{fencing, std::make_shared<net::cancellation_token>()};
  const duties::call_identity identity{shared_.settings.vm, fencing};
  const call_guard guard{call_->cancellation, [this, fencing] { return may_act(fencing); }};
  call_outcome outcome = call_outcome::failed;
  if (const auto* report = std::get_if<duties::usage_report>(&call)) {
    outcome = co_await control_.send(*report, identity, guard);
  } else {
    outcome = co_await control_.send(std::get<duties::server_order>(call), identity, guard);
  }
  call_.reset();
  end_call(call, outcome, fencing, started_at);
}

void duty_runner::end_call(const control_call& call, call_outcome outcome, std::uint64_t fencing,
                           time_point started_at) {
  const time_point now = shared_.time.now();
  if (outcome == call_outcome::rate_limited) {
    next_call_at_ = now + rate_limited_pause;
  }
  std::visit([&](const auto& what) { log_call(what, outcome, fencing, now - started_at); }, call);
  const auto* order = std::get_if<duties::server_order>(&call);
  shared_.metrics->count("hawthornnotch_control_calls_total",
                         {{"kind", order == nullptr ? duty_kind_usage : duty_kind_scale},
                          {"outcome", to_string(outcome)}});
  if (order == nullptr) {
    usage_->report_ended(std::get<duties::usage_report>(call), outcome, now);
  } else if (orders_.ended) {
    orders_.ended(*order, outcome, now);
  }
}

// Orders that a term leaves unsent are planned again from the state at that time.
void duty_runner::drop_orders(time_point now) {
  for (const duties::server_order& each : std::exchange(waiting_orders_, {})) {
    if (orders_.ended) {
      orders_.ended(each, call_outcome::failed, now);
    }
  }
}

}  // namespace hawthornnotch::gateway::internal
