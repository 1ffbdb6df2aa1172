/// \file
/// How routers shift their parts of the windows towards who waits with higher tiers.
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

/// Slots that change hands, over all servers.
struct slot_shift {
  /// Above the even part, for each tier of this router.
  std::array<double, tier_count> taken{};
  /// Below the even part, for each tier of this router, given to peers that wait with a higher one.
  std::array<double, tier_count> given{};
};

/// Compares waiting work among routers, as each of them does with nearly the same numbers.
///
/// A router whose waiting work of a tier and above exceeds the mean takes more; those below the
/// mean give as much in sum, from their lower tiers.  Waiting work is smoothed, and multiplied by a
/// gain, so that a small queue holds the shift. Example: `demand.observe(waiting, "vm-3", now);
/// auto shift = demand.shift();` Ownership: a value.  Thread safety: none; the scheduler's fleet
/// lock protects it.
class peer_demand {
 public:
  explicit peer_demand(const window_settings& settings) : settings_(settings) {}
  /// \param waiting of all routers, the own one included.
  void observe(std::span<const peer_waiting> waiting, std::string_view own, time_point now);
  [[nodiscard]] const slot_shift& shift() const { return shift_; }

 private:
  using by_tier = std::array<double, tier_count>;
  void smooth(std::span<const peer_waiting> waiting, time_point now);
  [[nodiscard]] double need(std::string_view router, int most_urgent) const;
  [[nodiscard]] double part_given(std::string_view own, int most_urgent) const;
  [[nodiscard]] double excess(std::string_view router, int most_urgent) const;

  window_settings settings_;
  std::map<std::string, std::array<decaying_mean, tier_count>, std::less<>> smoothed_;
  // Waiting work of a tier and all above it.
  std::map<std::string, by_tier, std::less<>> cumulated_;
  by_tier mean_{};
  slot_shift shift_;
};

}  // namespace hawthornnotch::policy

#endif  // HAWTHORNNOTCH_POLICY_PEER_DEMAND_H_
