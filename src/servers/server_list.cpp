#include "hawthornnotch/servers/server_list.h"

#include <algorithm>
#include <set>

namespace hawthornnotch::servers {

list_change server_list::apply(const list_snapshot& reading, time_point now) {
  list_change change;
  if (record_copy(reading.id, reading.read_at)) {
    return change;
  }
  if (newest_ && reading.version < newest_->version) {
    return change;
  }
  note_gap(reading);
  merge_listed(reading, now, change);
  drop_missing(reading, now, change);
  departures_.forget_old(now);
  const time_point newest_read_at =
      newest_ ? std::max(newest_->read_at, reading.read_at) : reading.read_at;
  newest_ = reading;
  newest_->read_at = newest_read_at;
  digest_ = digest_of(newest_->entries);
  rebuild_index(now);
  return change;
}

bool server_list::record_copy(std::uint64_t id, time_point read_at) {
  if (!newest_ || newest_->id != id) {
    return false;
  }
  newest_->read_at = std::min(newest_->read_at, read_at);
  return true;
}

// A long time without a reading means that the store was away, and that leases may have lapsed.
// After a restore, entries of the last seconds are missing until they are written again.
void server_list::note_gap(const list_snapshot& reading) {
  if (!newest_) {
    return;
  }
  const bool was_away = reading.read_at - newest_->read_at > settings_.outage;
  const bool was_restored = reading.version.era > newest_->version.era;
  if (was_away || was_restored) {
    keep_missing_until_ = reading.read_at + settings_.return_time;
  }
}

void server_list::merge_listed(const list_snapshot& reading, time_point now, list_change& change) {
  for (const server_entry& entry : reading.entries) {
    departures_.note_listed(entry, reading.version.era, now);
    const auto [found, is_new] = known_.try_emplace(entry.id, known_server{entry, true});
    known_server& known = found->second;
    if (is_new) {
      known.entry.leaving = entry.leaving || departures_.leaves(entry);
      change.added.push_back(entry.id);
      continue;
    }
    const bool other_start = entry.start_time_ms != known.entry.start_time_ms;
    const bool was_leaving = (known.entry.leaving && !other_start) || departures_.leaves(entry);
    if (other_start || entry.address != known.entry.address) {
      change.added.push_back(entry.id);
    }
    if (entry.leaving && !was_leaving) {
      change.leaving.push_back(entry.id);
    }
    known.entry = entry;
    known.entry.leaving = entry.leaving || was_leaving;
    known.listed = true;
  }
}

void server_list::drop_missing(const list_snapshot& reading, time_point now, list_change& change) {
  std::set<std::string_view> present;
  for (const server_entry& entry : reading.entries) {
    present.insert(entry.id);
  }
  const bool keep = reading.read_at < keep_missing_until_;
  for (auto each = known_.begin(); each != known_.end();) {
    if (present.count(each->first) > 0) {
      ++each;
      continue;
    }
    each->second.listed = false;
    if (keep) {
      ++each;
      continue;
    }
    change.removed.push_back(each->first);
    departures_.note_gone(each->second.entry, reading.version.era, now);
    each = known_.erase(each);
  }
}

bool server_list::mark_leaving(std::string_view server, std::int64_t start_time_ms,
                               duration told_for, time_point now) {
  const bool is_new = departures_.mark_leaving(server, start_time_ms, told_for, now);
  const auto found = known_.find(server);
  const bool same_start =
      found != known_.end() && found->second.entry.start_time_ms == start_time_ms;
  if (!same_start || found->second.entry.leaving) {
    return is_new;
  }
  found->second.entry.leaving = true;
  rebuild_index(now);
  return is_new;
}

void server_list::rebuild_index(time_point now) {
  by_service_.clear();
  std::vector<const server_entry*> doubtful;
  for (const auto& [id, known] : known_) {
    if (known.entry.leaving) {
      continue;
    }
    if (departures_.is_doubtful(known.entry, now)) {
      doubtful.push_back(&known.entry);
    } else {
      by_service_[known.entry.service].push_back(&known.entry);
    }
  }
  // A service that has no others tries them.
  std::map<std::string_view, std::vector<const server_entry*>> only_doubtful;
  for (const server_entry* entry : doubtful) {
    if (by_service_.count(entry->service) == 0) {
      only_doubtful[entry->service].push_back(entry);
    }
  }
  for (auto& [service, entries] : only_doubtful) {
    by_service_[std::string(service)] = std::move(entries);
  }
}

const std::vector<const server_entry*>& server_list::serving(std::string_view service) const {
  static const std::vector<const server_entry*> none;
  const auto found = by_service_.find(service);
  return found == by_service_.end() ? none : found->second;
}

const server_entry* server_list::find(std::string_view id) const {
  const auto found = known_.find(id);
  return found == known_.end() ? nullptr : &found->second.entry;
}

std::optional<duration> server_list::age(time_point now) const {
  if (!newest_) {
    return std::nullopt;
  }
  return now - newest_->read_at;
}

}  // namespace hawthornnotch::servers
