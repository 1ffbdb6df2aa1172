#include "hawthornnotch/standin/kv_store.h"

#include <algorithm>
#include <utility>

namespace hawthornnotch::standin {

bool key_range::contains(std::string_view candidate) const {
  if (end.empty()) {
    return candidate == key;
  }
  const bool open_ended = end.size() == 1 && end.front() == '\0';
  return candidate >= key && (open_ended || candidate < end);
}

std::vector<std::pair<std::string, stored_value>> kv_store::range(const key_range& keys) const {
  std::vector<std::pair<std::string, stored_value>> found;
  for (auto at = values_.lower_bound(keys.key); at != values_.end() && keys.contains(at->first);
       ++at) {
    found.emplace_back(*at);
  }
  return found;
}

std::optional<stored_value> kv_store::find(std::string_view key) const {
  const auto found = values_.find(key);
  return found == values_.end() ? std::nullopt : std::optional(found->second);
}

void kv_store::put(const std::string& key, std::string value, std::int64_t lease) {
  changed_ = true;
  stored_value& stored = values_[key];
  if (const auto old = leases_.find(stored.lease); old != leases_.end()) {
    old->second.keys.erase(key);
  }
  stored.value = std::move(value);
  stored.mod_revision = revision_ + 1;
  stored.create_revision = stored.version == 0 ? stored.mod_revision : stored.create_revision;
  ++stored.version;
  stored.lease = lease;
  if (const auto next = leases_.find(lease); next != leases_.end()) {
    next->second.keys.insert(key);
  }
  record({key, stored, false});
}

std::size_t kv_store::erase(const key_range& keys) {
  const auto found = range(keys);
  for (const auto& [key, value] : found) {
    changed_ = true;
    if (const auto lease = leases_.find(value.lease); lease != leases_.end()) {
      lease->second.keys.erase(key);
    }
    values_.erase(key);
    stored_value gone;
    gone.mod_revision = revision_ + 1;
    record({key, std::move(gone), true});
  }
  return found.size();
}

void kv_store::record(stored_event event) {
  history_.push_back(std::move(event));
  if (history_.size() > history_limit) {
    compacted_ = history_.front().now.mod_revision;
    history_.pop_front();
  }
}

std::int64_t kv_store::grant(std::int64_t wanted_id, duration time_to_live) {
  const std::int64_t id = wanted_id != 0 ? wanted_id : ++next_lease_;
  leases_[id] = {time_to_live, time_.now() + time_to_live, {}};
  return id;
}

std::optional<duration> kv_store::keep_alive(std::int64_t lease) {
  const auto found = leases_.find(lease);
  if (found == leases_.end()) {
    return {};
  }
  found->second.ends = time_.now() + found->second.time_to_live;
  return found->second.time_to_live;
}

bool kv_store::revoke(std::int64_t lease) {
  const auto found = leases_.find(lease);
  if (found == leases_.end()) {
    return false;
  }
  const std::set<std::string> keys = std::move(found->second.keys);
  leases_.erase(found);
  begin();
  for (const std::string& key : keys) {
    erase({key, ""});
  }
  commit();
  return true;
}

void kv_store::expire() {
  std::vector<std::int64_t> ended;
  for (const auto& [id, lease] : leases_) {
    if (lease.ends.ms <= time_.now().ms) {
      ended.push_back(id);
    }
  }
  for (const std::int64_t id : ended) {
    revoke(id);
  }
}

std::optional<std::vector<stored_event>> kv_store::events(const key_range& keys,
                                                          std::int64_t start) const {
  if (start <= compacted_) {
    return {};
  }
  const auto first = std::partition_point(
      history_.begin(), history_.end(),
      [start](const stored_event& event) { return event.now.mod_revision < start; });
  std::vector<stored_event> found;
  std::copy_if(first, history_.end(), std::back_inserter(found),
               [&keys](const stored_event& event) { return keys.contains(event.key); });
  return found;
}

}  // namespace hawthornnotch::standin
