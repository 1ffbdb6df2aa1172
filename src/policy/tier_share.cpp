#include "hawthornnotch/policy/tier_share.h"

#include <algorithm>

namespace hawthornnotch::policy {

namespace {
constexpr double max_credit_turns = 2.0;
constexpr double cost_weight = 0.1;
}  // namespace

void tier_share::observe(const waiting_tiers& waiting, time_point now) {
  for (int index = 0; index < tier_count; ++index) {
    tier_account& each = accounts_.at(index);
    if (waiting.at(index) && !each.waiting) {
      each.last_dispatch = now;
    }
    if (!waiting.at(index)) {
      each.credit = 0;
    }
    each.waiting = waiting.at(index);
  }
}

std::optional<tier> tier_share::due(const waiting_tiers& waiting, time_point now) const {
  std::optional<tier> due_tier;
  for (int index = tier_count - 1; index > 0; --index) {
    const tier_account& each = accounts_.at(index);
    const bool earned = each.credit >= each.turn_cost && settings_.min_share.at(index) > 0;
    const bool overdue = each.waiting && now - each.last_dispatch >= settings_.max_dispatch_gap;
    if (!waiting.at(index) || (!earned && !overdue)) {
      continue;
    }
    if (!due_tier || each.last_dispatch < accounts_.at(*due_tier).last_dispatch) {
      due_tier = static_cast<tier>(index);
    }
  }
  return due_tier;
}

void tier_share::on_dispatch(tier service_tier, double work, const waiting_tiers& waiting,
                             time_point now) {
  for (int index = 1; index < tier_count; ++index) {
    tier_account& each = accounts_.at(index);
    if (index == service_tier) {
      each.turn_cost += cost_weight * (work - each.turn_cost);
      each.credit = std::max(0.0, each.credit - work);
      each.last_dispatch = now;
    } else if (waiting.at(index)) {
      const double earned = each.credit + settings_.min_share.at(index) * work;
      each.credit = std::min(earned, max_credit_turns * each.turn_cost);
    }
  }
}

}  // namespace hawthornnotch::policy
