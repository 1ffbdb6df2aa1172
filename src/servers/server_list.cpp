#include "hawthornnotch/servers/server_list.h"

#include <algorithm>
#include <set>

namespace hawthornnotch::servers {

list_change server_list::apply(const list_snapshot& snapshot, time_point now) {
  list_change change;
  if (record_copy(snapshot.id, snapshot.read_at)) {
    return change;
  }
  if (newest_ && snapshot.version < newest_->version) {
    return change;
  }
  detect_outage(snapshot);
  merge_listed(snapshot, now, change);
  drop_missing(snapshot, now, change);
  departures_.remove_expired(now);
  const time_point newest_read_at =
      newest_ ? std::max(newest_->read_at, snapshot.read_at) : snapshot.read_at;
  newest_ = snapshot;
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

// A long interval between snapshots means that the store was unavailable and that leases may have
// expired.  After a restore, recent entries are missing until their servers write them again.
void server_list::detect_outage(const list_snapshot& snapshot) {
  if (!newest_) {
    return;
  }
  const bool was_unavailable = snapshot.read_at - newest_->read_at > settings_.outage_threshold;
  const bool was_restored = snapshot.version.era > newest_->version.era;
  if (was_unavailable || was_restored) {
    missing_entry_grace_until_ = snapshot.read_at + settings_.missing_entry_grace;
  }
}

void server_list::merge_listed(const list_snapshot& snapshot, time_point now, list_change& change) {
  for (const server_entry& entry : snapshot.entries) {
    departures_.record_listed(entry, snapshot.version.era, now);
    const auto [found, is_new] = known_.try_emplace(entry.id, known_server{entry, true});
    known_server& known = found->second;
    if (is_new) {
      known.entry.leaving = entry.leaving || departures_.is_leaving(entry);
      change.added.push_back(entry.id);
      continue;
    }
    const bool is_new_incarnation = entry.start_time_ms != known.entry.start_time_ms;
    const bool was_leaving =
        (known.entry.leaving && !is_new_incarnation) || departures_.is_leaving(entry);
    if (is_new_incarnation || entry.address != known.entry.address) {
      change.added.push_back(entry.id);
    }
    if (entry.leaving && !was_leaving) {
      change.leaving.push_back(entry.id);
    }
    std::string known_version = std::move(known.entry.software_version);
    known.entry = entry;
    if (entry.software_version.empty() && !is_new_incarnation) {
      // The list came from a VM of an earlier release.
      known.entry.software_version = std::move(known_version);
    }
    known.entry.leaving = entry.leaving || was_leaving;
    known.listed = true;
  }
}

void server_list::drop_missing(const list_snapshot& snapshot, time_point now, list_change& change) {
  std::set<std::string_view> listed_ids;
  for (const server_entry& entry : snapshot.entries) {
    listed_ids.insert(entry.id);
  }
  const bool within_grace = snapshot.read_at < missing_entry_grace_until_;
  for (auto each = known_.begin(); each != known_.end();) {
    if (listed_ids.count(each->first) > 0) {
      ++each;
      continue;
    }
    each->second.listed = false;
    if (within_grace) {
      ++each;
      continue;
    }
    change.removed.push_back(each->first);
    departures_.record_removed(each->second.entry, snapshot.version.era, now);
    each = known_.erase(each);
  }
}

bool server_list::mark_leaving(std::string_view server, std::int64_t start_time_ms,
                               duration gossip_for, time_point now) {
  const bool is_new = departures_.mark_leaving(server, start_time_ms, gossip_for, now);
  const auto found = known_.find(server);
  const bool same_incarnation =
      found != known_.end() && found->second.entry.start_time_ms == start_time_ms;
  if (!same_incarnation || found->second.entry.leaving) {
    return is_new;
  }
  found->second.entry.leaving = true;
  rebuild_index(now);
  return is_new;
}

void server_list::rebuild_index(time_point now) {
  by_service_.clear();
  std::vector<const server_entry*> unconfirmed;
  for (const auto& [id, known] : known_) {
    if (known.entry.leaving) {
      continue;
    }
    if (departures_.is_unconfirmed(known.entry, now)) {
      unconfirmed.push_back(&known.entry);
    } else {
      by_service_[known.entry.service].push_back(&known.entry);
    }
  }
  // Unconfirmed entries are better than none.
  std::map<std::string_view, std::vector<const server_entry*>> only_unconfirmed;
  for (const server_entry* entry : unconfirmed) {
    if (by_service_.count(entry->service) == 0) {
      only_unconfirmed[entry->service].push_back(entry);
    }
  }
  for (auto& [service, entries] : only_unconfirmed) {
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
