/// \file
/// Orders servers for every service whose configuration permits it.
#ifndef HAWTHORNNOTCH_AUTOSCALE_SERVICE_SCALER_H_
#define HAWTHORNNOTCH_AUTOSCALE_SERVICE_SCALER_H_

#include <functional>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "hawthornnotch/autoscale/demand_meter.h"
#include "hawthornnotch/autoscale/server_planner.h"
#include "hawthornnotch/relay/exchange.h"
#include "hawthornnotch/routes/routing_config.h"
#include "hawthornnotch/servers/server_list.h"

namespace hawthornnotch::autoscale {

/// What this VM knows of the fleet at one time.
struct fleet_view {
  const routes::routing_config& config;
  const servers::server_list& list;
  /// Work of all entry VMs by server, this one's included.
  const std::map<std::string, relay::server_work, std::less<>>& work;
  /// Records of topic demand.
  std::span<const replication::record* const> demand;
  /// Entry VMs that are alive, this one included.
  std::size_t live_vms = 1;
  /// Prefill speed of a typical server.
  double prefill_tokens_per_ms = 0;
  /// Whether entry VMs of a failure domain are heard from, or it has none.
  std::function<bool(std::string_view)> reachable;
};

/// Servers of one kind in one failure domain, for metrics.
struct pool_summary {
  std::string service;
  std::string failure_domain;
  bool preemptible = false;
  std::uint32_t present = 0;
  /// None if this VM does not hold the duties.
  std::optional<std::uint32_t> wanted;
};

/// One `server_planner` for each service with autoscale settings.
///
/// Example:
///     scaler.observe(view, now);                       // each 500 ms, on every VM
///     for (const duties::server_order& each : scaler.orders(now)) { ... }   // by the holder only
///     scaler.on_outcome(order, outcome, now);
/// Ownership: a value; refers to a view only during `observe`.  Thread safety: none.
class service_scaler {
 public:
  void observe(const fleet_view& view, time_point now);
  /// \returns the orders to send now; each counts as sent.  Without a new observation there are
  /// none.
  [[nodiscard]] std::vector<duties::server_order> orders(time_point now);
  void on_outcome(const duties::server_order& order, duties::call_outcome outcome, time_point now);

  /// \returns the orders made since the last call, with their inputs, for the log.
  [[nodiscard]] std::vector<planned_order> take_decisions();
  [[nodiscard]] std::vector<pool_summary> summary() const;
  [[nodiscard]] bool empty() const { return services_.empty(); }

 private:
  struct scaled_service {
    explicit scaled_service(const std::string& name) : planner(name) {}
    server_planner planner;
    /// Failure domains that have or had servers, or that the configuration names.
    std::set<std::string, std::less<>> domains;
    bool observed = false;
  };

  static std::vector<domain_state> domains_of(const routes::service_definition& service,
                                              const fleet_view& view, scaled_service& into);

  std::map<std::string, scaled_service, std::less<>> services_;
  std::vector<planned_order> decisions_;
};

}  // namespace hawthornnotch::autoscale

#endif  // HAWTHORNNOTCH_AUTOSCALE_SERVICE_SCALER_H_
