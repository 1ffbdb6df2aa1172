#include "load_events.h"

#include "hawthornnotch/observe/log.h"

namespace hawthornnotch::gateway::internal {

namespace {

/// A server of another release may send a malformed report with each of its answers.
constexpr duration malformed_log_period{1'000};

}  // namespace

void record_malformed_load(gateway_state& shared, std::string_view server,
                           std::string_view request_id) {
  shared.metrics->count("hawthornnotch_load_reports_malformed_total", {});
  const time_point now = shared.time.now();
  auto& logged_at = shared.malformed_load_logged_at;
  if (logged_at && now - *logged_at < malformed_log_period) {
    return;
  }
  logged_at = now;
  observe::log_event(observe::level::warning, "load_report_malformed",
                     {{"server", server}, {"request_id", request_id}});
}

}  // namespace hawthornnotch::gateway::internal
