/// \file
/// Which tier has the next free slot.
#ifndef HAWTHORNNOTCH_POLICY_TIER_SHARE_H_
#define HAWTHORNNOTCH_POLICY_TIER_SHARE_H_

#include <array>
#include <cstdint>
#include <optional>

#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/policy/settings.h"

namespace hawthornnotch::policy {

/// Strict tiers with a least share for the lower ones.
///
/// While a lower tier waits, each dispatch of another tier adds the tier's part of that work to its
/// credit; at one request's worth the tier has the next slot.  It also has it after
/// `max_dispatch_gap` without a dispatch.  So the head of a waiting tier starts after at most
/// `max_dispatch_gap` plus the time until a slot is free.  A turn only orders waiting requests: it
/// never ends or refuses one. Example: `auto turn = share.due(waiting, now);
/// share.on_dispatch(tier, work, waiting, now);` Ownership: a value.  Thread safety: none; the
/// shard's lock protects it.
class tier_share {
 public:
  using waiting_tiers = std::array<bool, tier_count>;

  explicit tier_share(const queue_settings& settings) : settings_(settings) {}
  /// Notes which tiers wait; a tier's gap starts when it begins to wait.
  void observe(const waiting_tiers& waiting, time_point now);
  /// \returns the lower tier whose turn it is, if any.
  [[nodiscard]] std::optional<tier> due(const waiting_tiers& waiting, time_point now) const;
  /// \param work planned tokens of the dispatched request.
  void on_dispatch(tier service_tier, double work, const waiting_tiers& waiting, time_point now);

 private:
  struct account {
    bool waiting = false;
    double credit = 0;
    /// Mean work of the tier's requests: what one turn costs.
    double cost = 1;
    time_point last;
  };

  queue_settings settings_;
  std::array<account, tier_count> accounts_;
};

}  // namespace hawthornnotch::policy

#endif  // HAWTHORNNOTCH_POLICY_TIER_SHARE_H_
