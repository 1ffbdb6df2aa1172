#include "hawthornnotch/policy/peer_demand.h"

#include <algorithm>

namespace hawthornnotch::policy {

namespace {

// Tiers below take no slots from other routers.
constexpr int lowest_entitled = 1;

std::array<decaying_mean, tier_count> make_means(duration half_life) {
  const decaying_mean none(half_life, 0.0);
  return {none, none, none, none};
}

}  // namespace

void peer_demand::observe(std::span<const peer_waiting> waiting, std::string_view own,
                          time_point now) {
  smooth(waiting, now);
  shift_ = {};
  for (int index = 0; index <= lowest_entitled; ++index) {
    shift_.taken.at(index) = settings_.shift_gain * need(own, index);
  }
  for (int index = 1; index < tier_count; ++index) {
    shift_.given.at(index) =
        settings_.shift_gain * part_given(own, std::min(index - 1, lowest_entitled));
  }
}

double peer_demand::part_given(std::string_view own, int most_urgent) const {
  double all_below = 0;
  double needed = 0;
  for (const auto& [router, sums] : cumulated_) {
    needed += need(router, most_urgent);
    all_below += std::max(0.0, -excess(router, most_urgent));
  }
  const double below = std::max(0.0, -excess(own, most_urgent));
  return all_below > 0 ? needed * below / all_below : 0.0;
}

// Queues of routers with equal traffic differ by chance: only what stands well above the mean
// counts.
double peer_demand::need(std::string_view router, int most_urgent) const {
  const auto found = cumulated_.find(router);
  if (found == cumulated_.end() || cumulated_.size() < 2) {
    return 0.0;
  }
  const double waiting = found->second.at(most_urgent);
  const auto routers = static_cast<double>(cumulated_.size());
  const double others = (mean_.at(most_urgent) * routers - waiting) / (routers - 1.0);
  return std::max(0.0, waiting - (1.0 + settings_.shift_threshold) * others);
}

void peer_demand::smooth(std::span<const peer_waiting> waiting, time_point now) {
  cumulated_.clear();
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
      cumulated_[router.vm].at(index) = sum;
      mean_.at(index) += sum / static_cast<double>(waiting.size());
    }
  }
  std::erase_if(smoothed_, [this](const auto& each) { return !cumulated_.contains(each.first); });
}

double peer_demand::excess(std::string_view router, int most_urgent) const {
  const auto found = cumulated_.find(router);
  return found == cumulated_.end() ? 0.0 : found->second.at(most_urgent) - mean_.at(most_urgent);
}

}  // namespace hawthornnotch::policy
