#include "selection.h"

#include <algorithm>
#include <utility>

namespace hawthornnotch::dispatch::internal {

selection::offer_of& selection::of(suitability how) {
  switch (how) {
    case suitability::preferred:
      return preferred_;
    case suitability::last_resort:
      return last_resort_;
    case suitability::avoided:
      break;
  }
  return avoided_;
}

void selection::offer(const candidate& at, placement offered, suitability how) {
  offer_of& best = of(how);
  if (how == suitability::preferred) {
    shortest_ms_ =
        best.at != nullptr ? std::min(shortest_ms_, offered.expected_ms) : offered.expected_ms;
  }
  if (best.at == nullptr || offered.loss < best.estimates.loss) {
    best = {&at, std::move(offered)};
  }
}

selection::offer_of& selection::best(duration time_left) {
  const bool too_late = time_left.ms > 0 && shortest_ms_ > static_cast<double>(time_left.ms);
  const bool sooner =
      last_resort_.at != nullptr && too_late && last_resort_.estimates.expected_ms < shortest_ms_;
  if (preferred_.at != nullptr && !sooner) {
    return preferred_;
  }
  return last_resort_.at != nullptr ? last_resort_ : avoided_;
}

std::optional<placement> selection::take_best(duration time_left) {
  offer_of& found = best(time_left);
  if (found.at == nullptr) {
    return std::nullopt;
  }
  found.estimates.server = *found.at->server;
  return std::move(found.estimates);
}

}  // namespace hawthornnotch::dispatch::internal
