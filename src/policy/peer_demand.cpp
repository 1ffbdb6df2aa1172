#include "hawthornnotch/policy/peer_demand.h"

#include <algorithm>

namespace hawthornnotch::policy {

namespace {

// Lower tiers borrow no slots from other routers.
constexpr int lowest_borrowing_tier = 1;

std::array<decaying_mean, tier_count> make_means(duration half_life) {
  const decaying_mean none(half_life, 0.0);
  return {none, none, none, none};
}

}  // namespace

void peer_demand::observe(std::span<const peer_waiting> waiting, std::string_view own,
                          time_point now) {
  smooth(waiting, now);
  shift_ = {};
  for (int index = 0; index <= lowest_borrowing_tier; ++index) {
    shift_.borrowed.at(index) = settings_.shift_gain * slots_needed(own, index);
  }
  for (int index = 1; index < tier_count; ++index) {
    shift_.lent.at(index) =
        settings_.shift_gain * slots_lent(own, std::min(index - 1, lowest_borrowing_tier));
  }
}

double peer_demand::slots_lent(std::string_view own, int lowest_tier) const {
  double total_deficit = 0;
  double total_needed = 0;
  for (const auto& [router, sums] : cumulative_waiting_) {
    total_needed += slots_needed(router, lowest_tier);
    total_deficit += std::max(0.0, -excess(router, lowest_tier));
  }
  const double deficit = std::max(0.0, -excess(own, lowest_tier));
  return total_deficit > 0 ? total_needed * deficit / total_deficit : 0.0;
}

// Queues of routers with equal traffic differ by chance, so only what exceeds the mean of the
// others by a threshold counts.
double peer_demand::slots_needed(std::string_view router, int lowest_tier) const {
  const auto found = cumulative_waiting_.find(router);
  if (found == cumulative_waiting_.end() || cumulative_waiting_.size() < 2) {
    return 0.0;
  }
  const double waiting = found->second.at(lowest_tier);
  const auto routers = static_cast<double>(cumulative_waiting_.size());
  const double others = (mean_.at(lowest_tier) * routers - waiting) / (routers - 1.0);
  return std::max(0.0, waiting - (1.0 + settings_.shift_threshold) * others);
}

void peer_demand::smooth(std::span<const peer_waiting> waiting, time_point now) {
  cumulative_waiting_.clear();
  mean_ = {};
  for (const peer_waiting& router : waiting) {
    auto found = smoothed_.find(router.vm);
    if (found == smoothed_.end()) {
      found = smoothed_.emplace(router.vm, make_means(settings_.shift_half_life)).first;
    }
    double sum = 0;
    for (int index = 0; index < tier_count; ++index) {
      decaying_mean& mean = found->second.at(index);
      mean.add(router.by_tier[index], 1.0, now);
      sum += mean.value();
      cumulative_waiting_[router.vm].at(index) = sum;
      mean_.at(index) += sum / static_cast<double>(waiting.size());
    }
  }
  std::erase_if(smoothed_,
                [this](const auto& each) { return !cumulative_waiting_.contains(each.first); });
}

double peer_demand::excess(std::string_view router, int lowest_tier) const {
  const auto found = cumulative_waiting_.find(router);
  return found == cumulative_waiting_.end() ? 0.0
                                            : found->second.at(lowest_tier) - mean_.at(lowest_tier);
}

}  // namespace hawthornnotch::policy
