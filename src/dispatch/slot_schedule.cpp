#include "hawthornnotch/dispatch/slot_schedule.h"

#include <algorithm>

#include "hawthornnotch/base/hash.h"

namespace hawthornnotch::dispatch {

namespace {

constexpr duration min_slot_length{200};
/// Lifetime of a permit, to which the time of `extra_permits` is added.
constexpr duration base_permit_lifetime{500};
constexpr std::int64_t extra_permits = 2;
/// One permit: a thousandth of a request per second for a millisecond is one unit.
constexpr std::int64_t permit_unit = 1'000'000;

}  // namespace

slot_schedule::slot_schedule(std::uint64_t server, servers::request_rate rate)
    : server_(server),
      slot_length_(
          std::max(min_slot_length, {(permit_unit + rate.milli_per_s - 1) / rate.milli_per_s})),
      permit_lifetime_(base_permit_lifetime +
                       duration{extra_permits * permit_unit / rate.milli_per_s}),
      units_per_slot_(slot_length_.ms * rate.milli_per_s),
      phase_ms_(static_cast<std::int64_t>(server % static_cast<std::uint64_t>(slot_length_.ms))) {}

std::int64_t slot_schedule::slot_at(time_point fleet_time) const {
  return (fleet_time.ms + phase_ms_) / slot_length_.ms;
}

time_point slot_schedule::start_of(std::int64_t slot) const {
  return {slot * slot_length_.ms - phase_ms_};
}

// The remainders of the slots before carry over: permits add up to the rate over time.
std::int64_t slot_schedule::permits_in(std::int64_t slot) const {
  const std::int64_t remainder =
      ((slot % permit_unit) * (units_per_slot_ % permit_unit)) % permit_unit;
  return (remainder + units_per_slot_) / permit_unit;
}

bool slot_schedule::owned_by_self(const fleet_members& members, std::int64_t slot) const {
  const std::uint64_t key = stable_hash(static_cast<std::uint64_t>(slot), server_);
  const std::uint64_t own = stable_hash(members.self, key);
  return std::all_of(members.others.begin(), members.others.end(),
                     [&](std::uint64_t other) { return stable_hash(other, key) < own; });
}

}  // namespace hawthornnotch::dispatch
