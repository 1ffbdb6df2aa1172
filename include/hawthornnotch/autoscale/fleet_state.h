/// \file
/// What the orders for the servers of one service are decided from.
#ifndef HAWTHORNNOTCH_AUTOSCALE_FLEET_STATE_H_
#define HAWTHORNNOTCH_AUTOSCALE_FLEET_STATE_H_

#include <cstdint>
#include <string>

#include "hawthornnotch/base/clock.h"

namespace hawthornnotch::autoscale {

struct scale_settings {
  /// Servers of both kinds together in each failure domain.
  std::uint32_t min = 0;
  std::uint32_t max = 0;
  /// Time from an order until the new server serves.
  duration boot_time{0};
  /// Price of a preemptible server as a fraction of an on-demand server's.
  double preemptible_price = 1.0;
};

/// Servers of a service in one failure domain.  Servers that are booting are not listed by the
/// platform; they follow from the orders.
struct domain_state {
  std::string failure_domain;
  /// Price of an on-demand server.
  double price = 1.0;
  std::uint32_t on_demand = 0;
  std::uint32_t preemptible = 0;
  /// Servers of both kinds that get no new work any more; not among those above.
  std::uint32_t leaving = 0;
  /// False if no entry VM of the failure domain is heard from although it has some.
  bool reachable = true;
};

/// Work for a service over all entry VMs, and what one server bears.
struct service_demand {
  /// Requests in flight at servers, and requests that wait at entry VMs.
  double running = 0;
  double waiting = 0;
  /// Prompt tokens to prefill before the first events of the requests in flight.
  double prefill_tokens = 0;
  /// Prompt tokens to prefill and requests that were sent to servers lately.
  double prefill_tokens_per_s = 0;
  double requests_per_s = 0;
  /// Share of first events that came after their target.
  double late_share = 0;
  /// Requests that one server runs concurrently.
  double slots = 1;
  /// Prefill speed of one server; 0 if the service has no prompts.
  double prefill_tokens_per_ms = 0;
};

}  // namespace hawthornnotch::autoscale

#endif  // HAWTHORNNOTCH_AUTOSCALE_FLEET_STATE_H_
