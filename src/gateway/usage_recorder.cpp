#include "usage_recorder.h"

#include "hawthornnotch/observe/log.h"

namespace hawthornnotch::gateway::internal {

using observe::level;
using observe::log_event;

namespace {

constexpr duration tick_period{250};
/// A wall clock that is off by more than this is logged; counts would move to other windows.
constexpr duration wrong_clock{500};
/// In a fleet whose oldest process is not older than this one by more than this, no process has
/// earlier records.
constexpr duration common_start{2'000};
/// Time after which the other entry VMs are not asked for their records any more.
constexpr duration max_records_request{10'000};

usage::usage_settings usage_settings_of(const duty_settings& duties) {
  return {duties.report_window, duties.usage_delay};
}

}  // namespace

usage_recorder::usage_recorder(gateway_state& shared, const boost::asio::any_io_executor& executor)
    : shared_(shared),
      started_at_(shared.time.now()),
      ledger_(shared.records, shared.settings.duties->report_window),
      memory_(shared.records),
      reporter_(usage_settings_of(*shared.settings.duties), *this, memory_),
      ticker_(executor, tick_period, [this] { tick(); }) {
  shared_.wants_records = true;
  read_clocks(started_at_);
}

duration usage_recorder::fleet_age(time_point now) const {
  return {shared_.dispatcher.limits().fleet_time(now).ms};
}

time_point usage_recorder::running_since(time_point now) const {
  return clock_.at(now) - fleet_age(now);
}

bool usage_recorder::is_complete(time_point /*now*/) const { return !shared_.wants_records; }

void usage_recorder::count(std::string_view workspace) {
  ledger_.count(workspace, clock_.at(shared_.time.now()));
}

void usage_recorder::read_clocks(time_point now) {
  clock_.update({shared_.time.wall(), shared_.dispatcher.limits().fleet_time(now), now},
                shared_.records);
}

// Without peers there is nobody who could have answered yet.
void usage_recorder::check_records_request(time_point now) {
  if (!shared_.wants_records || shared_.peers.live_count(now) == 1) {
    return;
  }
  const duration age = now - started_at_;
  const bool alike = age >= common_start && fleet_age(now) - age < common_start;
  shared_.wants_records = !alike && age < max_records_request;
}

void usage_recorder::tick() {
  const time_point now = shared_.time.now();
  check_records_request(now);
  read_clocks(now);
  ledger_.publish(clock_.at(now), now);
  const duration error = clock_.own_error();
  const bool wrong = error > wrong_clock || error < duration{0} - wrong_clock;
  if (wrong != clock_was_wrong_) {
    clock_was_wrong_ = wrong;
    log_event(wrong ? level::warning : level::info, wrong ? "clock_wrong" : "clock_right",
              {{"error_ms", error.ms}});
  }
}

void usage_recorder::update_gauges() const {
  observe::metrics& shown = *shared_.metrics;
  shown.gauge("hawthornnotch_usage_counted", {}, static_cast<double>(ledger_.counted()));
  shown.gauge("hawthornnotch_usage_dropped", {}, static_cast<double>(ledger_.dropped()));
  shown.gauge("hawthornnotch_usage_reports_withheld", {},
              static_cast<double>(reporter_.withheld()));
  shown.gauge("hawthornnotch_clock_error_ms", {}, static_cast<double>(clock_.own_error().ms));
  shown.gauge("hawthornnotch_records", {}, static_cast<double>(shared_.records.size()));
  shown.gauge("hawthornnotch_records_dropped", {}, static_cast<double>(shared_.records.dropped()));
}

}  // namespace hawthornnotch::gateway::internal
