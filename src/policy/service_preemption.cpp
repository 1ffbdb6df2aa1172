// Stopping lower tiers for higher ones; the rest of `service_queue` stands in service_queue.cpp.
#include <algorithm>

#include "hawthornnotch/policy/service_queue.h"

namespace hawthornnotch::policy {

namespace {

constexpr std::uint32_t victims_looked_at = 8;

// A resumed stream reads its prompt and what was sent of the answer again.
std::uint64_t resume_cost(const request_record& record) {
  constexpr std::uint64_t bytes_per_token = 4;
  return record.profile.prompt_bytes + bytes_per_token * record.tokens;
}

}  // namespace

bool service_queue::urgent(tier service_tier, time_point now) const {
  const auto head = queue_.head(service_tier, false);
  if (!head) {
    return false;
  }
  const time_point start_by = queue_.find(*head)->start_by;
  return start_by >= now && start_by - now < settings_.preemption.slack;
}

void service_queue::preempt(time_point now) {
  free_slots_for_waiting(now);
  const tier last = std::min<tier>(settings_.preemption.lowest_entitled, tier_count - 1);
  for (tier service_tier = 0; service_tier <= last; ++service_tier) {
    const auto wanted =
        std::min<std::size_t>(settings_.preemption.max_pending, queue_.size(service_tier));
    if (stopping_ >= wanted || !urgent(service_tier, now)) {
      continue;
    }
    request_record* victim = victim_for(service_tier);
    if (victim == nullptr) {
      continue;
    }
    stop(*victim, false, now);
  }
}

void service_queue::stop(request_record& victim, bool yields_to_sent, time_point now) {
  victim.yields_to_sent = yields_to_sent;
  victim.phase = request_phase::stopping;
  ++stopping_;
  ++totals_.preempted;
  note(victim, now, trace_event_kind::preempted, victim.tokens);
  ready_.emplace_back(preempted{victim.request});
}

bool service_queue::may_stop(const request_record& record) const {
  return record.profile.traffic_class.idempotent && record.phase == request_phase::running;
}

void service_queue::await_first_token(const request_record& record) {
  const auto& target = record.profile.traffic_class.target.first_token;
  const bool entitled = is_tiered() && tier_of(record) <= settings_.preemption.lowest_entitled;
  if (entitled && target && record.tokens == 0) {
    awaiting_.emplace((record.arrived + *target).ms, record.request);
  }
}

void service_queue::stop_awaiting(const request_record& record) {
  const auto& target = record.profile.traffic_class.target.first_token;
  if (target) {
    awaiting_.erase({(record.arrived + *target).ms, record.request});
  }
}

// A request that waits at an engine for a slot gets one of this router's own lower streams there.
void service_queue::free_slots_for_waiting(time_point now) {
  const std::int64_t near_ms = (now + settings_.preemption.first_token_slack).ms;
  while (!awaiting_.empty() && awaiting_.begin()->first < near_ms) {
    const auto [target_ms, request] = *awaiting_.begin();
    awaiting_.erase(awaiting_.begin());
    const request_record& record = *records_.at(request);
    request_record* victim = victim_at(record.server.get(), tier_of(record));
    if (victim != nullptr && target_ms >= now.ms) {
      stop(*victim, true, now);
    }
  }
}

request_record* service_queue::victim_at(const server_state* server, tier service_tier) const {
  const auto found = running_at_.find(server);
  if (found == running_at_.end()) {
    return nullptr;
  }
  for (int index = tier_count - 1; index > service_tier; --index) {
    const by_dispatch& streams = found->second.at(index);
    const auto newest = std::find_if(streams.rbegin(), streams.rend(), [this](const auto& each) {
      return may_stop(*records_.at(each.second));
    });
    if (newest != streams.rend()) {
      return records_.at(newest->second).get();
    }
  }
  return nullptr;
}

// Gives the place of a stopped stream to the request that it was stopped for.  The server's load is
// the same as before, so its limits are not asked.
void service_queue::take_over(const std::shared_ptr<server_state>& server, tier below,
                              time_point now) {
  const tier last = std::min<tier>(settings_.preemption.lowest_entitled, below - 1);
  for (tier service_tier = 0; service_tier <= last; ++service_tier) {
    const auto next = queue_.head(service_tier, false);
    if (!next || server->leaving()) {
      continue;
    }
    request_record& record = *records_.at(*next);
    if (record.workspace->start(record.profile.limits, limits_)) {
      choice chosen;
      chosen.server = server;
      start(record, chosen, false, now);
      return;
    }
  }
}

// Of the newest of the lowest tier, the one that is cheapest to resume.
request_record* service_queue::victim_for(tier service_tier) const {
  request_record* cheapest = nullptr;
  for (int index = tier_count - 1; index > service_tier && cheapest == nullptr; --index) {
    const by_dispatch& streams = running_.at(index);
    std::uint32_t looked_at = 0;
    for (auto each = streams.rbegin(); each != streams.rend() && looked_at < victims_looked_at;
         ++each, ++looked_at) {
      request_record& record = *records_.at(each->second);
      const bool allowed = may_stop(record) && !record.server->leaving();
      if (allowed && (cheapest == nullptr || resume_cost(record) < resume_cost(*cheapest))) {
        cheapest = &record;
      }
    }
  }
  return cheapest;
}

}  // namespace hawthornnotch::policy
