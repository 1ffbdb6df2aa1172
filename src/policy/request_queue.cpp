#include "hawthornnotch/policy/request_queue.h"

#include <algorithm>

namespace hawthornnotch::policy {

void request_queue::add(const queued_request& entry) {
  entries_[entry.request] = entry;
  of(entry.service_tier).by_arrival.insert(entry.request);
  by_expiry_.emplace(entry.expires_at.ms, entry.request);
  make_ready(entry);
}

bool request_queue::remove(std::uint64_t request) {
  const auto found = entries_.find(request);
  if (found == entries_.end()) {
    return false;
  }
  const queued_request& entry = found->second;
  make_unready(entry);
  of(entry.service_tier).by_arrival.erase(request);
  by_expiry_.erase({entry.expires_at.ms, request});
  entries_.erase(found);
  return true;
}

void request_queue::park(std::uint64_t request) {
  const queued_request* entry = find(request);
  if (entry != nullptr) {
    make_unready(*entry);
  }
}

void request_queue::unpark(std::uint64_t request) {
  const queued_request* entry = find(request);
  if (entry != nullptr) {
    make_ready(*entry);
  }
}

void request_queue::make_ready(const queued_request& entry) {
  tier_queue& queue = of(entry.service_tier);
  ordered& list = entry.resumed ? queue.resumed : queue.in_time;
  list.emplace(entry.start_by.ms, entry.request);
}

void request_queue::make_unready(const queued_request& entry) {
  tier_queue& queue = of(entry.service_tier);
  const std::pair key{entry.start_by.ms, entry.request};
  queue.resumed.erase(key);
  queue.in_time.erase(key);
  queue.late.erase(key);
}

void request_queue::mark_late(time_point now) {
  for (tier_queue& queue : tiers_) {
    while (!queue.in_time.empty() && queue.in_time.begin()->first < now.ms) {
      queue.late.insert(queue.in_time.extract(queue.in_time.begin()));
    }
  }
}

std::optional<std::uint64_t> request_queue::head(tier service_tier, bool late_first) const {
  const tier_queue& queue = of(service_tier);
  if (!queue.resumed.empty()) {
    return queue.resumed.begin()->second;
  }
  const ordered& first = late_first ? queue.late : queue.in_time;
  const ordered& second = late_first ? queue.in_time : queue.late;
  if (!first.empty()) {
    return first.begin()->second;
  }
  if (!second.empty()) {
    return second.begin()->second;
  }
  return std::nullopt;
}

const queued_request* request_queue::find(std::uint64_t request) const {
  const auto found = entries_.find(request);
  return found == entries_.end() ? nullptr : &found->second;
}

std::vector<std::uint64_t> request_queue::take_expired(time_point now) {
  std::vector<std::uint64_t> expired;
  while (!by_expiry_.empty() && by_expiry_.begin()->first <= now.ms) {
    expired.push_back(by_expiry_.begin()->second);
    remove(expired.back());
  }
  return expired;
}

std::optional<std::uint64_t> request_queue::newest_of_lowest_tier() const {
  const auto lowest = std::find_if(tiers_.rbegin(), tiers_.rend(),
                                   [](const auto& queue) { return !queue.by_arrival.empty(); });
  if (lowest == tiers_.rend()) {
    return std::nullopt;
  }
  return *lowest->by_arrival.rbegin();
}

std::size_t request_queue::size(tier service_tier) const {
  return of(service_tier).by_arrival.size();
}

bool request_queue::has_ready(tier service_tier) const {
  const tier_queue& queue = of(service_tier);
  return !queue.resumed.empty() || !queue.in_time.empty() || !queue.late.empty();
}

}  // namespace hawthornnotch::policy
