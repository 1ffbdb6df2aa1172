#include "hawthornnotch/policy/tier_share.h"

#include <algorithm>

namespace hawthornnotch::policy {

namespace {
constexpr double most_saved_turns = 2.0;
constexpr double cost_weight = 0.1;
}  // namespace

void tier_share::observe(const waiting_tiers& waiting, time_point now) {
  for (int index = 0; index < tier_count; ++index) {
    account& each = accounts_.at(index);
    if (waiting.at(index) && !each.waiting) {
      each.last = now;
    }
    if (!waiting.at(index)) {
      each.credit = 0;
    }
    each.waiting = waiting.at(index);
  }
}

std::optional<tier> tier_share::due(const waiting_tiers& waiting, time_point now) const {
  std::optional<tier> longest;
  for (int index = tier_count - 1; index > 0; --index) {
    const account& each = accounts_.at(index);
    const bool earned = each.credit >= each.cost && settings_.least_share.at(index) > 0;
    const bool overdue = each.waiting && now - each.last >= settings_.max_dispatch_gap;
    if (!waiting.at(index) || (!earned && !overdue)) {
      continue;
    }
    if (!longest || each.last < accounts_.at(*longest).last) {
      longest = static_cast<tier>(index);
    }
  }
  return longest;
}

void tier_share::on_dispatch(tier service_tier, double work, const waiting_tiers& waiting,
                             time_point now) {
  for (int index = 1; index < tier_count; ++index) {
    account& each = accounts_.at(index);
    if (index == service_tier) {
      each.cost += cost_weight * (work - each.cost);
      each.credit = std::max(0.0, each.credit - work);
      each.last = now;
    } else if (waiting.at(index)) {
      const double earned = each.credit + settings_.least_share.at(index) * work;
      each.credit = std::min(earned, most_saved_turns * each.cost);
    }
  }
}

}  // namespace hawthornnotch::policy
