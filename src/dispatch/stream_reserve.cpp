#include "stream_reserve.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace hawthornnotch::dispatch::internal {

namespace {

/// Planned streams per reserved server; each brings a prompt of its own, whose prefill delays the
/// others.
constexpr double streams_per_server = 12.0;
/// Upper limit of planned streams as a fraction of a server's slots; leaves room because the number
/// of streams is known with a delay and arrives in bursts.
constexpr double slot_utilization = 0.5;
/// Prefill backlog from which the reserve shrinks linearly, and from which there is none.
constexpr double shrink_above_ms = 300.0;
constexpr double disable_above_ms = 800.0;
/// Maximum fraction of the servers to reserve.
constexpr double max_reserved_fraction = 0.3;
/// Smaller fleets reserve no servers.
constexpr std::size_t min_fleet_size = 6;

// \returns the factor by which the prefill backlog scales the reserve, 0 to 1.
double reserve_scale(double waiting_ms) {
  return std::clamp((disable_above_ms - waiting_ms) / (disable_above_ms - shrink_above_ms), 0.0,
                    1.0);
}

}  // namespace

std::size_t reserve_size(const fleet_load& load, std::size_t servers, double slots) {
  if (servers < min_fleet_size || load.streams <= 0 || slots <= 0) {
    return 0;
  }
  const double needed =
      std::ceil(load.streams / std::min(slots * slot_utilization, streams_per_server));
  const double limit = max_reserved_fraction * static_cast<double>(servers);
  return static_cast<std::size_t>(std::min(needed, limit) * reserve_scale(load.waiting_ms));
}

std::size_t reserve_for_streams(std::span<candidate> candidates, const fleet_load& load) {
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
  std::vector<candidate*> eligible;
  eligible.reserve(candidates.size());
  for (candidate& each : candidates) {
    if (!each.avoided && !each.slow) {
      eligible.push_back(&each);
    }
  }
  const std::size_t reserved = std::min(wanted, eligible.size());
  std::partial_sort(eligible.begin(), eligible.begin() + static_cast<std::ptrdiff_t>(reserved),
                    eligible.end(), [](const candidate* a, const candidate* b) {
                      return a->state->reserve_order < b->state->reserve_order;
                    });
  for (std::size_t index = 0; index < reserved; ++index) {
    eligible[index]->reserved_for_streams = true;
  }
  return reserved;
}

}  // namespace hawthornnotch::dispatch::internal
