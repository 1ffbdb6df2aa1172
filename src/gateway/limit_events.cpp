#include "limit_events.h"

#include "hawthornnotch/observe/log.h"

namespace hawthornnotch::gateway::internal {

using observe::level;
using observe::log_event;

namespace {

// Stands for no limit in logs.
constexpr double no_limit = -1.0;

double per_second(const std::optional<servers::request_rate>& rate) {
  return rate ? rate->per_second() : no_limit;
}

}  // namespace

void log_limit_change(const dispatch::limit_change& change, std::string_view source,
                      std::string_view request_id) {
  log_event(level::info, "server_limit",
            {{"server", change.server},
             {"per_s", per_second(change.now)},
             {"before_per_s", per_second(change.before)},
             {"source", source},
             {"request_id", request_id}});
}

void log_permit(const dispatch::limit_summary& limit, std::string_view request_id) {
  log_event(level::info, "limit_permit",
            {{"request_id", request_id},
             {"server", limit.server},
             {"per_s", limit.rate.per_second()},
             {"age_ms", limit.age.ms},
             {"permits", limit.permits}});
}

void update_limit_gauges(gateway_state& shared, time_point now) {
  const auto limits = shared.dispatcher.limits().summary(now);
  shared.metrics->gauge("hawthornnotch_limited_servers", {}, static_cast<double>(limits.size()));
  for (const dispatch::limit_summary& each : limits) {
    shared.metrics->gauge("hawthornnotch_server_limit_per_s", {{"server", each.server}},
                          each.rate.per_second());
  }
}

}  // namespace hawthornnotch::gateway::internal
