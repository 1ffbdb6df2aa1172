#include "stream_reserve.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace hawthornnotch::dispatch::internal {

namespace {

/// Streams that are expected at a kept server: each brings a prompt of its own, which the others
/// wait for.
constexpr double usual_streams = 12.0;
/// The same as a part of a server's slots, where these are few: the streams' number is known with a
/// delay and comes in bursts.
constexpr double usual_fill = 0.5;
/// From the first time of waiting prompts on fewer servers are kept, from the second on none.
constexpr double shrinking_from_ms = 300.0;
constexpr double none_from_ms = 800.0;
/// Most servers that are kept, as a part of all.
constexpr double most_kept = 0.3;
/// With fewer servers none can be spared.
constexpr std::size_t least_servers = 6;

// \returns the part of the servers needed by streams that prompts leave them.
double spared_part(double waiting_ms) {
  return std::clamp((none_from_ms - waiting_ms) / (none_from_ms - shrinking_from_ms), 0.0, 1.0);
}

}  // namespace

std::size_t reserve_size(const fleet_load& load, std::size_t servers, double slots) {
  if (servers < least_servers || load.streams <= 0 || slots <= 0) {
    return 0;
  }
  const double needed = std::ceil(load.streams / std::min(slots * usual_fill, usual_streams));
  const double most = most_kept * static_cast<double>(servers);
  return static_cast<std::size_t>(std::min(needed, most) * spared_part(load.waiting_ms));
}

std::size_t keep_for_streams(std::span<candidate> candidates, const fleet_load& load) {
  double slots = 0;
  for (const candidate& each : candidates) {
    slots += each.server->slots;
  }
  const double mean_slots =
      slots / static_cast<double>(std::max<std::size_t>(candidates.size(), 1));
  const std::size_t wanted = reserve_size(load, candidates.size(), mean_slots);
  if (wanted == 0) {
    return 0;
  }
  std::vector<candidate*> fit;
  fit.reserve(candidates.size());
  for (candidate& each : candidates) {
    if (!each.avoided && !each.slow) {
      fit.push_back(&each);
    }
  }
  const std::size_t kept = std::min(wanted, fit.size());
  std::partial_sort(fit.begin(), fit.begin() + static_cast<std::ptrdiff_t>(kept), fit.end(),
                    [](const candidate* a, const candidate* b) {
                      return a->state->stream_order < b->state->stream_order;
                    });
  for (std::size_t index = 0; index < kept; ++index) {
    fit[index]->reserved_for_streams = true;
  }
  return kept;
}

}  // namespace hawthornnotch::dispatch::internal
