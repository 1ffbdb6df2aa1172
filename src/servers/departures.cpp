#include "hawthornnotch/servers/departures.h"

#include <algorithm>

namespace hawthornnotch::servers {

namespace {

/// Store backups are only seconds old, so servers that left longer ago are not in them.
constexpr duration retention_period{120'000};
/// An entry that its server no longer renews expires within this time.
constexpr duration entry_lifetime{5'000};

}  // namespace

const departure_tracker::incarnation_record* departure_tracker::find(
    const server_entry& entry) const {
  const auto found = incarnations_.find({entry.id, entry.start_time_ms});
  return found == incarnations_.end() ? nullptr : &found->second;
}

bool departure_tracker::mark_leaving(std::string_view server, std::int64_t start_time_ms,
                                     duration gossip_for, time_point now) {
  incarnation_record& record = incarnations_[{std::string(server), start_time_ms}];
  record.noted_at = now;
  if (record.leaving) {
    return false;
  }
  record.leaving = true;
  record.gossip_until = now + gossip_for;
  return true;
}

void departure_tracker::record_removed(const server_entry& entry, std::int64_t era,
                                       time_point now) {
  incarnation_record& record = incarnations_[{entry.id, entry.start_time_ms}];
  record.leaving = record.leaving || entry.leaving;
  record.removed = true;
  record.removed_in_era = era;
  record.noted_at = now;
}

void departure_tracker::record_listed(const server_entry& entry, std::int64_t era, time_point now) {
  const auto found = incarnations_.find({entry.id, entry.start_time_ms});
  if (found == incarnations_.end()) {
    return;
  }
  incarnation_record& record = found->second;
  record.noted_at = now;
  if (record.removed && era > record.removed_in_era) {
    record.unconfirmed_until = now + entry_lifetime;
  }
  record.removed = false;
}

bool departure_tracker::is_leaving(const server_entry& entry) const {
  const incarnation_record* record = find(entry);
  return record != nullptr && record->leaving;
}

bool departure_tracker::is_unconfirmed(const server_entry& entry, time_point now) const {
  const incarnation_record* record = find(entry);
  return record != nullptr && now < record->unconfirmed_until;
}

std::vector<departure> departure_tracker::notices_to_gossip(time_point now) const {
  std::vector<departure> out;
  for (const auto& [key, record] : incarnations_) {
    if (now < record.gossip_until) {
      out.push_back({key.first, key.second, record.gossip_until - now});
    }
  }
  return out;
}

void departure_tracker::remove_expired(time_point now) {
  std::erase_if(incarnations_,
                [&](const auto& each) { return now - each.second.noted_at > retention_period; });
}

}  // namespace hawthornnotch::servers
