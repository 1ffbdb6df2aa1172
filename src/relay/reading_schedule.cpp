#include "hawthornnotch/relay/reading_schedule.h"

#include <algorithm>

namespace hawthornnotch::relay {

namespace {

/// Entry VMs of each failure domain that keep an entry in the store.
constexpr std::size_t entries_in_domain = 2;
/// VMs that read for the whole fleet before those of each failure domain do.
constexpr std::size_t fleet_readers = 2;
/// VMs of each failure domain that read for it.
constexpr std::size_t domain_readers = 2;
/// Age at which the first VM reads, and what each further one waits longer, as parts of the bound.
constexpr double first_part = 0.4;
constexpr double next_part = 0.12;
/// The same for all others, and the span over which they spread: they read only where all that read
/// for them are gone or refused at the same time.
constexpr double last_part = 1.5;
constexpr double last_spread = 1.0;
/// Part of the bound for which a call waits whose end others need to hear of soon.
constexpr double short_watch_part = 0.05;
/// A process that has just started may not know yet who comes before it.
constexpr duration settling_time{2'000};
/// How long a process that knows nothing asks other VMs before it reads by itself, and the span
/// over which such processes spread.
constexpr duration ask_others_first{500};
constexpr double ask_others_spread_ms = 700;
/// Pauses after a failed call of the first VM in order: the first, and the longest that doubling
/// leads to; each VM that comes later waits as much longer as its place says.
constexpr duration first_pause{100};
constexpr duration longest_pause{800};
/// The same for those that do not read for others.
constexpr duration first_pause_of_others{4'000};
constexpr duration longest_pause_of_others{16'000};
constexpr std::uint32_t most_doublings = 8;

std::size_t place_of(const store_position& rank) {
  return rank.in_fleet < fleet_readers ? rank.in_fleet : fleet_readers + rank.in_domain;
}

bool reads_for_others(const store_position& rank) {
  return place_of(rank) < fleet_readers + domain_readers;
}

duration part_of(duration whole, double part) {
  return {static_cast<std::int64_t>(part * static_cast<double>(whole.ms))};
}

}  // namespace

bool registers_in_store(const store_position& rank) { return rank.in_domain < entries_in_domain; }

duration store_backoff::failed_now(const store_position& rank, double drawn) {
  const bool first = reads_for_others(rank);
  const duration shortest = first ? first_pause : first_pause_of_others;
  const duration longest = first ? longest_pause : longest_pause_of_others;
  const std::uint32_t doublings = std::min(failures_, most_doublings);
  ++failures_;
  const duration doubled = std::min(shortest * (std::int64_t{1} << doublings), longest);
  const auto place = static_cast<std::int64_t>(place_of(rank));
  const duration pause = first ? doubled * (1 + place) : doubled;
  constexpr double least_part = 0.5;
  return part_of(pause, least_part + drawn);
}

bool reading_schedule::settled(time_point now) const { return now - started_at_ >= settling_time; }

duration reading_schedule::first_wait() const {
  const duration jitter{static_cast<std::int64_t>(settings_.jitter * ask_others_spread_ms)};
  return settings_.peers_ask_at_startup ? duration{0} : ask_others_first + jitter;
}

duration reading_schedule::longest_age_of_others() const {
  return part_of(settings_.max_staleness, last_part + last_spread * settings_.jitter);
}

duration reading_schedule::longest_age(const store_position& rank) const {
  if (!reads_for_others(rank)) {
    return longest_age_of_others();
  }
  const auto place = static_cast<double>(place_of(rank));
  return part_of(settings_.max_staleness, first_part + next_part * place);
}

bool reading_schedule::reads_alone(std::uint64_t newest_id) const {
  return newest_id != 0 && newest_id == last_alone_;
}

bool reading_schedule::due(std::optional<duration> age, std::uint64_t newest_id,
                           const store_position& rank, time_point now) const {
  if (running_ || now < not_before_) {
    return false;
  }
  if (!age) {
    return now - started_at_ >= first_wait();
  }
  if (!settled(now)) {
    return *age >= longest_age_of_others();
  }
  const bool watches = rank.in_fleet == 0 || reads_alone(newest_id);
  if (settings_.kind == reading_kind::watched && watches) {
    return true;
  }
  return *age >= longest_age(rank);
}

void reading_schedule::began(std::uint64_t newest_id) {
  running_ = true;
  newest_at_call_ = newest_id;
}

void reading_schedule::succeeded(std::uint64_t newest_id, std::uint64_t own_id, bool changed) {
  running_ = false;
  last_alone_ = newest_id == newest_at_call_ ? own_id : 0;
  changed_ = changed;
  backoff_.succeeded();
}

duration reading_schedule::failed_now(const store_position& rank, double drawn, time_point now) {
  running_ = false;
  const duration pause = backoff_.failed_now(rank, drawn);
  not_before_ = now + pause;
  return pause;
}

duration reading_schedule::watch_time(std::uint64_t newest_id) const {
  const bool goes_on = reads_alone(newest_id) && !changed_;
  return part_of(settings_.max_staleness, goes_on ? first_part : short_watch_part);
}

}  // namespace hawthornnotch::relay
