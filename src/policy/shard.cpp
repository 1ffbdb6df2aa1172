#include "hawthornnotch/policy/shard.h"

#include <algorithm>

namespace hawthornnotch::policy {

service_queue* shard::queue_of(ticket request) {
  const auto found = by_ticket.find(request);
  return found == by_ticket.end() ? nullptr : found->second;
}

void shard::collect_ended(service_queue& queue) {
  for (auto& each : queue.take_ended_notes()) {
    by_ticket.erase(each.first);
    ended.push_back(std::move(each));
  }
  while (ended.size() > ended_kept) {
    ended.pop_front();
  }
}

std::vector<trace_event> shard::notes_of(ticket request) const {
  const auto found = by_ticket.find(request);
  if (found != by_ticket.end()) {
    const request_record* record = found->second->find(request);
    return record == nullptr ? std::vector<trace_event>() : record->notes;
  }
  const auto newest = std::find_if(ended.rbegin(), ended.rend(),
                                   [&](const auto& each) { return each.first == request; });
  return newest == ended.rend() ? std::vector<trace_event>() : newest->second;
}

}  // namespace hawthornnotch::policy
