// The components that all requests of a router share.
#ifndef HAWTHORNNOTCH_SRC_ROUTER_ROUTER_COMPONENTS_H_
#define HAWTHORNNOTCH_SRC_ROUTER_ROUTER_COMPONENTS_H_

#include <atomic>

#include "decision_dispatcher.h"
#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/claim/claim_service.h"
#include "hawthornnotch/net/http_client.h"
#include "hawthornnotch/observe/decision_ring.h"
#include "hawthornnotch/observe/metrics.h"
#include "hawthornnotch/observe/request_outcomes.h"
#include "hawthornnotch/router/control_state.h"
#include "hawthornnotch/router/settings.h"

namespace hawthornnotch::router::internal {

// Ownership: refers to components of the router, which outlives its requests.
// Thread safety: every component is thread safe.
struct router_components {
  const router_settings& settings;
  const clock& time;
  control_state& control;
  policy::scheduler& scheduler;
  decision_dispatcher& dispatcher;
  claim::claim_service& claims;
  net::http_client& http;
  observe::metrics& metrics;
  observe::decision_ring& decisions;
  observe::request_outcomes& outcomes;
};

}  // namespace hawthornnotch::router::internal

#endif  // HAWTHORNNOTCH_SRC_ROUTER_ROUTER_COMPONENTS_H_
