/// \file
/// Shifting window slots between routers towards those with waiting high-tier requests.
#ifndef HAWTHORNNOTCH_POLICY_PEER_DEMAND_H_
#define HAWTHORNNOTCH_POLICY_PEER_DEMAND_H_

#include <array>
#include <map>
#include <span>
#include <string>
#include <string_view>

#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/member/fleet.h"
#include "hawthornnotch/policy/decaying_mean.h"
#include "hawthornnotch/policy/settings.h"

namespace hawthornnotch::policy {

/// Slots moved between routers, summed over all servers.
struct slot_shift {
  /// Slots above this router's even share, by tier.
  std::array<double, tier_count> borrowed{};
  /// Slots below this router's even share, by tier, left to peers where a higher tier waits.
  std::array<double, tier_count> lent{};
};

/// Compares the queues of all routers and computes this router's slot shift.
///
/// There is no coordination: every router runs the same computation on nearly the same reports, so
/// the shifts roughly cancel out.  A router whose queue of a tier and above exceeds the mean
/// borrows slots; routers below the mean lend the same total from their lower tiers.  Queue lengths
/// are smoothed and multiplied by a gain, so that a short queue is enough to sustain the shift.
/// Example: `demand.observe(waiting, "vm-3", now); auto shift = demand.shift();`
/// Ownership: a value.  Thread safety: none; the scheduler's fleet lock protects it.
class peer_demand {
 public:
  explicit peer_demand(const window_settings& settings) : settings_(settings) {}
  /// \param waiting queue lengths of all routers, this one included.
  /// \param own id of this router's entry VM.
  void observe(std::span<const peer_waiting> waiting, std::string_view own, time_point now);
  [[nodiscard]] const slot_shift& shift() const { return shift_; }

 private:
  using by_tier = std::array<double, tier_count>;
  void smooth(std::span<const peer_waiting> waiting, time_point now);
  [[nodiscard]] double slots_needed(std::string_view router, int lowest_tier) const;
  [[nodiscard]] double slots_lent(std::string_view own, int lowest_tier) const;
  [[nodiscard]] double excess(std::string_view router, int lowest_tier) const;

  window_settings settings_;
  std::map<std::string, std::array<decaying_mean, tier_count>, std::less<>> smoothed_;
  // Smoothed queue length of each tier plus all higher tiers.
  std::map<std::string, by_tier, std::less<>> cumulative_waiting_;
  by_tier mean_{};
  slot_shift shift_;
};

}  // namespace hawthornnotch::policy

#endif  // HAWTHORNNOTCH_POLICY_PEER_DEMAND_H_
