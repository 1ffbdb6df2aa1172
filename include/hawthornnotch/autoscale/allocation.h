/// \file
/// The cheapest servers that provide a capacity.
#ifndef HAWTHORNNOTCH_AUTOSCALE_ALLOCATION_H_
#define HAWTHORNNOTCH_AUTOSCALE_ALLOCATION_H_

#include <cstdint>
#include <span>
#include <vector>

#include "hawthornnotch/autoscale/fleet_state.h"

namespace hawthornnotch::autoscale {

struct server_counts {
  std::uint32_t on_demand = 0;
  std::uint32_t preemptible = 0;
  [[nodiscard]] std::uint32_t total() const { return on_demand + preemptible; }
};

/// What can be had in one failure domain.
struct domain_offer {
  /// Price of an on-demand server.
  double price = 1.0;
  /// False if the platform has just had no server of the kind there.
  bool on_demand_available = true;
  bool preemptible_available = true;
  /// The servers there, which limit the kinds that are not available.
  server_counts present = {};
};

/// Capacity to provide, in servers.
struct capacity_goal {
  /// On-demand servers that there are at least.
  std::uint32_t base = 0;
  /// See `required_capacity`.
  std::uint32_t least = 0;
  std::uint32_t quality = 0;
  std::uint32_t target = 0;
};

/// \returns the price per unit of time.
[[nodiscard]] double cost_of(const scale_settings& settings, std::span<const domain_offer> offers,
                             std::span<const server_counts> counts);

[[nodiscard]] std::uint32_t total_of(std::span<const server_counts> counts);

/// \returns the servers that remain when the preemptible ones of any one failure domain are lost.
[[nodiscard]] std::uint32_t capacity_after_loss(std::span<const server_counts> counts);

/// Chooses the servers in each failure domain, in the order of the offers.
///
/// While preemptible servers are available everywhere, it is the cheapest choice with at least
/// `quality` servers and `capacity_after_loss` of at least the target, within the bounds: all
/// numbers of on-demand servers from the base up and all sets of the cheapest failure domains for
/// preemptible servers are compared.  If the bounds permit no such choice, it is the one that comes
/// closest.
///
/// While they are missing somewhere, the reserve for that loss is what is in use: preemptible
/// servers elsewhere provide the target, and on-demand servers are added only up to `least`.
[[nodiscard]] std::vector<server_counts> allocate(const scale_settings& settings,
                                                  std::span<const domain_offer> offers,
                                                  const capacity_goal& goal);

}  // namespace hawthornnotch::autoscale

#endif  // HAWTHORNNOTCH_AUTOSCALE_ALLOCATION_H_
