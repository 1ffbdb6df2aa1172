#include "hawthornnotch/servers/server_list.h"

#include <algorithm>
#include <set>

namespace hawthornnotch::servers {

list_change server_list::apply(const list_reading& reading, time_point /*now*/) {
  list_change change;
  if (note_copy(reading.id, reading.read_at)) {
    return change;
  }
  if (newest_ && reading.revision < newest_->revision) {
    return change;
  }
  note_gap(reading);
  merge_listed(reading, change);
  drop_missing(reading, change);
  const time_point newest_read_at =
      newest_ ? std::max(newest_->read_at, reading.read_at) : reading.read_at;
  newest_ = reading;
  newest_->read_at = newest_read_at;
  digest_ = digest_of(newest_->entries);
  if (!change.empty()) {
    ++version_;
  }
  rebuild_index();
  return change;
}

bool server_list::note_copy(std::uint64_t id, time_point read_at) {
  if (!newest_ || newest_->id != id) {
    return false;
  }
  newest_->read_at = std::min(newest_->read_at, read_at);
  return true;
}

// A long time without a reading means that the store was away, and that leases may have lapsed.
void server_list::note_gap(const list_reading& reading) {
  if (newest_ && reading.read_at - newest_->read_at > settings_.outage) {
    keep_missing_until_ = reading.read_at + settings_.return_time;
  }
}

void server_list::merge_listed(const list_reading& reading, list_change& change) {
  for (const server_entry& entry : reading.entries) {
    const auto [found, is_new] = known_.try_emplace(entry.id, known_server{entry, true});
    if (is_new) {
      change.added.push_back(entry.id);
      continue;
    }
    known_server& known = found->second;
    const bool other_start = entry.born_ms != known.entry.born_ms;
    const bool was_leaving = known.entry.leaving && !other_start;
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

void server_list::drop_missing(const list_reading& reading, list_change& change) {
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
    each = known_.erase(each);
  }
}

void server_list::rebuild_index() {
  by_service_.clear();
  for (const auto& [id, known] : known_) {
    if (!known.entry.leaving) {
      by_service_[known.entry.service].push_back(&known.entry);
    }
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
