/// \file
/// Minimum shares of the lower tiers.
#ifndef HAWTHORNNOTCH_POLICY_TIER_SHARE_H_
#define HAWTHORNNOTCH_POLICY_TIER_SHARE_H_

#include <array>
#include <cstdint>
#include <optional>

#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/policy/settings.h"

namespace hawthornnotch::policy {

/// Strict priority between tiers with a minimum share for the lower ones.
///
/// While a lower tier waits, each dispatch of another tier credits it with its share of that work.
/// Once the credit covers an average request of the tier, or the tier has had no dispatch for
/// `max_dispatch_gap`, it gets the next slot.  The head of a waiting tier thus starts within
/// `max_dispatch_gap` plus the time until a slot is free.  A turn only reorders waiting requests;
/// it never ends or refuses one.
/// Example: `auto turn = share.due(waiting, now); share.on_dispatch(tier, work, waiting, now);`
/// Ownership: a value.  Thread safety: none; the shard's lock protects it.
class tier_share {
 public:
  using waiting_tiers = std::array<bool, tier_count>;

  explicit tier_share(const queue_settings& settings) : settings_(settings) {}
  /// Records which tiers wait; a tier's gap starts when it begins to wait.
  void observe(const waiting_tiers& waiting, time_point now);
  /// \returns the lower tier that gets the next slot, if any; among several, the one whose last
  /// dispatch is oldest.
  [[nodiscard]] std::optional<tier> due(const waiting_tiers& waiting, time_point now) const;
  /// Charges a dispatch to its tier and credits the other waiting tiers.
  /// \param work estimated tokens of the dispatched request.
  void on_dispatch(tier service_tier, double work, const waiting_tiers& waiting, time_point now);

 private:
  struct tier_account {
    bool waiting = false;
    double credit = 0;
    /// Mean work of the tier's requests, tokens: the credit that one turn uses up.
    double turn_cost = 1;
    time_point last_dispatch;
  };

  queue_settings settings_;
  std::array<tier_account, tier_count> accounts_;
};

}  // namespace hawthornnotch::policy

#endif  // HAWTHORNNOTCH_POLICY_TIER_SHARE_H_
