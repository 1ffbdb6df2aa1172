// Log events and metrics of the load that servers report.
#ifndef HAWTHORNNOTCH_SRC_GATEWAY_LOAD_EVENTS_H_
#define HAWTHORNNOTCH_SRC_GATEWAY_LOAD_EVENTS_H_

#include <string_view>

#include "gateway_state.h"

namespace hawthornnotch::gateway::internal {

// Counts a load report that can't be decoded, and logs it unless one was logged within a second.
void record_malformed_load(gateway_state& shared, std::string_view server,
                           std::string_view request_id);

}  // namespace hawthornnotch::gateway::internal

#endif  // HAWTHORNNOTCH_SRC_GATEWAY_LOAD_EVENTS_H_
