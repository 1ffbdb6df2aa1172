#include "stream_reserve.h"

#include <algorithm>
#include <cmath>
#include <utility>
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

/// Minimum and maximum fraction of the servers to reserve where servers share their machines.  The
/// floor takes the streams of the first second of a burst, whose number is not known yet.
constexpr double shared_min_fraction = 0.1;
constexpr double shared_max_fraction = 0.4;
/// Size of the margin beside the reserve as a fraction of the reserve: the VMs know of each other's
/// streams at different times, and their reserves differ by this much at most in a usual second.
constexpr double margin_fraction = 0.125;

// \returns the factor by which the prefill backlog scales the reserve, 0 to 1.
double reserve_scale(double waiting_ms) {
  return std::clamp((disable_above_ms - waiting_ms) / (disable_above_ms - shrink_above_ms), 0.0,
                    1.0);
}

double mean_slots_of(std::span<const candidate> candidates) {
  double slots = 0;
  for (const candidate& each : candidates) {
    slots += each.server->slots;
  }
  return slots / static_cast<double>(std::max<std::size_t>(candidates.size(), 1));
}

// \returns the first `count` of the servers by their order, sorted.
std::vector<candidate*> first_in_order(std::vector<candidate*> servers, std::size_t count) {
  count = std::min(count, servers.size());
  std::partial_sort(servers.begin(), servers.begin() + static_cast<std::ptrdiff_t>(count),
                    servers.end(), [](const candidate* a, const candidate* b) {
                      return a->state->reserve_order < b->state->reserve_order;
                    });
  servers.resize(count);
  return servers;
}

std::size_t size_beside_prompts(const stream_demand& demand, std::size_t servers, double slots) {
  if (servers < min_fleet_size || !demand.arrive || slots <= 0) {
    return 0;
  }
  const double needed = demand.planned / std::min(slots * slot_utilization, streams_per_server);
  const auto all = static_cast<double>(servers);
  return static_cast<std::size_t>(
      std::ceil(std::clamp(needed, shared_min_fraction * all, shared_max_fraction * all)));
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
  const std::size_t wanted = reserve_size(load, candidates.size(), mean_slots_of(candidates));
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
  const std::vector<candidate*> reserved = first_in_order(std::move(eligible), wanted);
  for (candidate* each : reserved) {
    each->reserved_for_streams = true;
  }
  return reserved.size();
}

std::size_t reserve_beside_prompts(std::span<candidate> candidates, const stream_demand& demand) {
  const std::size_t wanted =
      size_beside_prompts(demand, candidates.size(), mean_slots_of(candidates));
  if (wanted == 0) {
    return 0;
  }
  std::vector<candidate*> servers;
  servers.reserve(candidates.size());
  for (candidate& each : candidates) {
    if (!each.avoided) {
      servers.push_back(&each);
    }
  }
  const auto margin =
      static_cast<std::size_t>(std::ceil(margin_fraction * static_cast<double>(wanted)));
  const std::vector<candidate*> first = first_in_order(std::move(servers), wanted + margin);
  const std::size_t reserved = std::min(wanted, first.size());
  for (std::size_t index = 0; index < first.size(); ++index) {
    first[index]->reserved_for_streams = index < reserved;
    first[index]->beside_reserve = index >= reserved;
  }
  return reserved;
}

}  // namespace hawthornnotch::dispatch::internal
