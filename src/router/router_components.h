// What every request of a router uses.
#ifndef HAWTHORNNOTCH_SRC_ROUTER_SERVICES_H_
#define HAWTHORNNOTCH_SRC_ROUTER_SERVICES_H_

#include <atomic>

#include "dispatch_desk.h"
#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/claim/claim_service.h"
#include "hawthornnotch/net/http_client.h"
#include "hawthornnotch/observe/decision_ring.h"
#include "hawthornnotch/observe/metrics.h"
#include "hawthornnotch/observe/request_outcomes.h"
#include "hawthornnotch/router/control_state.h"
#include "hawthornnotch/router/settings.h"

namespace hawthornnotch::router::internal {

// Ownership: refers to parts of the router, which outlives its requests.
// Thread safety: every part is thread safe.
struct services {
  const router_settings& settings;
  const clock& time;
  control_state& control;
  policy::scheduler& scheduler;
  dispatch_desk& desk;
  claim::claim_service& claims;
  net::http_client& http;
  observe::metrics& metrics;
  observe::decision_ring& decisions;
  observe::request_outcomes& outcomes;
};

}  // namespace hawthornnotch::router::internal

#endif  // HAWTHORNNOTCH_SRC_ROUTER_SERVICES_H_
