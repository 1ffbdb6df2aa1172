#include "hawthornnotch/relay/reading_schedule.h"

#include <algorithm>

namespace hawthornnotch::relay {

namespace {

/// Entry VMs of each failure domain that register in the store.
constexpr std::size_t entries_per_domain = 2;
/// VMs that read for the whole fleet; those of each failure domain come after them.
constexpr std::size_t fleet_readers = 2;
/// VMs of each failure domain that read on its behalf.
constexpr std::size_t readers_per_domain = 2;
/// Age at which the first VM reads, and the additional age for each further one, as fractions of
/// the maximum staleness.
constexpr double first_reader_fraction = 0.4;
constexpr double next_reader_fraction = 0.12;
/// The same for all other VMs, and the range of their jitter: they read only if all designated
/// readers are gone or rejected at the same time.
constexpr double fallback_fraction = 1.5;
constexpr double fallback_jitter_fraction = 1.0;
/// Duration of a watch call that has to end soon, as a fraction of the maximum staleness.
constexpr double short_watch_fraction = 0.05;
/// A process does not rely on its rank for this long after its start: it may not know all peers
/// yet.
constexpr duration warm_up_time{2'000};
/// How long a process without data queries other VMs before it reads the store, and the range of
/// the jitter added to it.
constexpr duration startup_query_time{500};
constexpr double startup_jitter_ms = 700;
/// Backoff of the first VM in order after a failed call, initial and maximum; that of each later
/// designated reader is a multiple of it, by rank.
constexpr duration initial_backoff{100};
constexpr duration max_backoff{800};
/// The same for VMs that do not read on behalf of others.
constexpr duration fallback_initial_backoff{4'000};
constexpr duration fallback_max_backoff{16'000};
constexpr std::uint32_t max_doublings = 8;

std::size_t takeover_rank(const store_rank& rank) {
  return rank.in_fleet < fleet_readers ? rank.in_fleet : fleet_readers + rank.in_domain;
}

bool is_designated_reader(const store_rank& rank) {
  return takeover_rank(rank) < fleet_readers + readers_per_domain;
}

duration scaled(duration whole, double fraction) {
  return {static_cast<std::int64_t>(fraction * static_cast<double>(whole.ms))};
}

}  // namespace

bool registers_in_store(const store_rank& rank) { return rank.in_domain < entries_per_domain; }

duration store_backoff::failed_now(const store_rank& rank, double random_fraction) {
  const bool designated = is_designated_reader(rank);
  const duration initial = designated ? initial_backoff : fallback_initial_backoff;
  const duration longest = designated ? max_backoff : fallback_max_backoff;
  const std::uint32_t doublings = std::min(failures_, max_doublings);
  ++failures_;
  const duration doubled = std::min(initial * (std::int64_t{1} << doublings), longest);
  const auto takeover = static_cast<std::int64_t>(takeover_rank(rank));
  const duration pause = designated ? doubled * (1 + takeover) : doubled;
  constexpr double min_fraction = 0.5;
  return scaled(pause, min_fraction + random_fraction);
}

bool reading_schedule::warmed_up(time_point now) const { return now - started_at_ >= warm_up_time; }

duration reading_schedule::startup_delay() const {
  const duration jitter{static_cast<std::int64_t>(settings_.jitter * startup_jitter_ms)};
  return settings_.peers_ask_at_startup ? duration{0} : startup_query_time + jitter;
}

duration reading_schedule::fallback_max_age() const {
  return scaled(settings_.max_staleness,
                fallback_fraction + fallback_jitter_fraction * settings_.jitter);
}

duration reading_schedule::max_age(const store_rank& rank) const {
  if (!is_designated_reader(rank)) {
    return fallback_max_age();
  }
  const auto takeover = static_cast<double>(takeover_rank(rank));
  return scaled(settings_.max_staleness, first_reader_fraction + next_reader_fraction * takeover);
}

bool reading_schedule::is_sole_reader(std::uint64_t newest_id) const {
  return newest_id != 0 && newest_id == sole_read_id_;
}

bool reading_schedule::due(std::optional<duration> age, std::uint64_t newest_id,
                           const store_rank& rank, time_point now) const {
  if (in_progress_ || now < next_call_at_) {
    return false;
  }
  if (!age) {
    return now - started_at_ >= startup_delay();
  }
  if (!warmed_up(now)) {
    return *age >= fallback_max_age();
  }
  const bool watches = rank.in_fleet == 0 || is_sole_reader(newest_id);
  if (settings_.kind == reading_kind::watched && watches) {
    return true;
  }
  return *age >= max_age(rank);
}

void reading_schedule::began(std::uint64_t newest_id) {
  in_progress_ = true;
  newest_id_at_start_ = newest_id;
}

void reading_schedule::succeeded(std::uint64_t newest_id, std::uint64_t own_id, bool changed) {
  in_progress_ = false;
  sole_read_id_ = newest_id == newest_id_at_start_ ? own_id : 0;
  changed_ = changed;
  backoff_.succeeded();
}

duration reading_schedule::failed_now(const store_rank& rank, double random_fraction,
                                      time_point now) {
  in_progress_ = false;
  const duration pause = backoff_.failed_now(rank, random_fraction);
  next_call_at_ = now + pause;
  return pause;
}

duration reading_schedule::watch_time(std::uint64_t newest_id) const {
  const bool steady = is_sole_reader(newest_id) && !changed_;
  return scaled(settings_.max_staleness, steady ? first_reader_fraction : short_watch_fraction);
}

}  // namespace hawthornnotch::relay
