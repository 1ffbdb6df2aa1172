// Log events and metrics of the limits that backend servers name.
#ifndef HAWTHORNNOTCH_SRC_GATEWAY_LIMIT_EVENTS_H_
#define HAWTHORNNOTCH_SRC_GATEWAY_LIMIT_EVENTS_H_

#include <string_view>

#include "gateway_state.h"
#include "hawthornnotch/dispatch/server_limits.h"

namespace hawthornnotch::gateway::internal {

// Logs that a limit was learned or changed, or that it ended.
// \param source the server itself, or the entry VM that forwarded it.
// \param request_id the request whose answer named it; empty if a peer forwarded it.
void log_limit_change(const dispatch::limit_change& change, std::string_view source,
                      std::string_view request_id);

// Logs the limit under which a request is sent, before its permit is taken.
void log_permit(const dispatch::limit_summary& limit, std::string_view request_id);

// Sets the gauges of all limits in force.
void update_limit_gauges(gateway_state& shared, time_point now);

}  // namespace hawthornnotch::gateway::internal

#endif  // HAWTHORNNOTCH_SRC_GATEWAY_LIMIT_EVENTS_H_
