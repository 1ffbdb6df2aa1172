#include "hawthornnotch/servers/departures.h"

#include <algorithm>

namespace hawthornnotch::servers {

namespace {

/// Copies of the store are some seconds old; what left longer ago is not in them.
constexpr duration retention{120'000};
/// Entries of servers that no longer renew them lapse within this time.
constexpr duration entry_lifetime{5'000};

}  // namespace

const departures::known_start* departures::find(const server_entry& entry) const {
  const auto found = starts_.find({entry.id, entry.start_time_ms});
  return found == starts_.end() ? nullptr : &found->second;
}

bool departures::mark_leaving(std::string_view server, std::int64_t start_time_ms,
                              duration told_for, time_point now) {
  known_start& start = starts_[{std::string(server), start_time_ms}];
  start.noted_at = now;
  if (start.leaving) {
    return false;
  }
  start.leaving = true;
  start.tell_until = now + told_for;
  return true;
}

void departures::note_gone(const server_entry& entry, std::int64_t era, time_point now) {
  known_start& start = starts_[{entry.id, entry.start_time_ms}];
  start.leaving = start.leaving || entry.leaving;
  start.gone = true;
  start.gone_in_era = era;
  start.noted_at = now;
}

void departures::note_listed(const server_entry& entry, std::int64_t era, time_point now) {
  const auto found = starts_.find({entry.id, entry.start_time_ms});
  if (found == starts_.end()) {
    return;
  }
  known_start& start = found->second;
  start.noted_at = now;
  if (start.gone && era > start.gone_in_era) {
    start.doubtful_until = now + entry_lifetime;
  }
  start.gone = false;
}

bool departures::leaves(const server_entry& entry) const {
  const known_start* start = find(entry);
  return start != nullptr && start->leaving;
}

bool departures::is_doubtful(const server_entry& entry, time_point now) const {
  const known_start* start = find(entry);
  return start != nullptr && now < start->doubtful_until;
}

std::vector<departure> departures::to_tell(time_point now) const {
  std::vector<departure> out;
  for (const auto& [key, start] : starts_) {
    if (now < start.tell_until) {
      out.push_back({key.first, key.second, start.tell_until - now});
    }
  }
  return out;
}

void departures::forget_old(time_point now) {
  std::erase_if(starts_, [&](const auto& each) { return now - each.second.noted_at > retention; });
}

}  // namespace hawthornnotch::servers
