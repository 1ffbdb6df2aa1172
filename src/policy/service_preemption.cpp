// Preemption; the other members of `service_queue` are in service_queue.cpp.
#include <algorithm>

#include "hawthornnotch/policy/service_queue.h"

namespace hawthornnotch::policy {

namespace {

constexpr std::uint32_t max_victims_examined = 8;

// Resuming a stream repeats the prefill of its prompt and of the output produced so far.
std::uint64_t resume_cost(const request_record& record) {
  constexpr std::uint64_t bytes_per_token = 4;
  return record.profile.prompt_bytes + bytes_per_token * record.tokens;
}

}  // namespace

bool service_queue::has_urgent_head(tier service_tier, time_point now) const {
  const auto head = queue_.head(service_tier, false);
  if (!head) {
    return false;
  }
  const time_point start_by = queue_.find(*head)->start_by;
  return start_by >= now && start_by - now < settings_.preemption.slack;
}

void service_queue::preempt(time_point now) {
  free_slots_for_dispatched(now);
  const tier last = std::min<tier>(settings_.preemption.lowest_preempting_tier, tier_count - 1);
  for (tier service_tier = 0; service_tier <= last; ++service_tier) {
    const auto wanted =
        std::min<std::size_t>(settings_.preemption.max_pending, queue_.size(service_tier));
    if (stopping_ >= wanted || !has_urgent_head(service_tier, now)) {
      continue;
    }
    request_record* victim = victim_for(service_tier);
    if (victim == nullptr) {
      continue;
    }
    preempt_request(*victim, false, now);
  }
}

void service_queue::preempt_request(request_record& victim, bool yields_to_dispatched,
                                    time_point now) {
  victim.yields_to_dispatched = yields_to_dispatched;
  victim.phase = request_phase::stopping;
  ++stopping_;
  ++totals_.preempted;
  trace(victim, now, trace_event_kind::preempted, victim.tokens);
  ready_.emplace_back(preempted{victim.request});
}

bool service_queue::is_preemptible(const request_record& record) const {
  return record.profile.traffic_class.idempotent && record.phase == request_phase::running;
}

void service_queue::await_first_token(const request_record& record) {
  const auto& target = record.profile.traffic_class.target.first_token;
  const bool entitled =
      is_tiered() && tier_of(record) <= settings_.preemption.lowest_preempting_tier;
  if (entitled && target && record.tokens == 0) {
    awaiting_.emplace((record.arrived + *target).ms, record.request);
  }
}

void service_queue::stop_awaiting_first_token(const request_record& record) {
  const auto& target = record.profile.traffic_class.target.first_token;
  if (target) {
    awaiting_.erase({(record.arrived + *target).ms, record.request});
  }
}

// Preempts a lower-tier stream of this router at each server where a dispatched request is about to
// miss its first-token target, so that the engine gets a free slot.
void service_queue::free_slots_for_dispatched(time_point now) {
  const std::int64_t near_ms = (now + settings_.preemption.first_token_slack).ms;
  while (!awaiting_.empty() && awaiting_.begin()->first < near_ms) {
    const auto [target_ms, request] = *awaiting_.begin();
    awaiting_.erase(awaiting_.begin());
    const request_record& record = *records_.at(request);
    request_record* victim = victim_at(record.server.get(), tier_of(record));
    if (victim != nullptr && target_ms >= now.ms) {
      preempt_request(*victim, true, now);
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
      return is_preemptible(*records_.at(each.second));
    });
    if (newest != streams.rend()) {
      return records_.at(newest->second).get();
    }
  }
  return nullptr;
}

// Dispatches the next request of a higher tier in place of a preempted stream.  The server's load
// does not change, so its limits are not checked.
void service_queue::reassign_slot(const std::shared_ptr<server_state>& server, tier below,
                                  time_point now) {
  const tier last = std::min<tier>(settings_.preemption.lowest_preempting_tier, below - 1);
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

// Returns the stream that is cheapest to resume among the newest ones of the lowest running tier.
request_record* service_queue::victim_for(tier service_tier) const {
  request_record* cheapest = nullptr;
  for (int index = tier_count - 1; index > service_tier && cheapest == nullptr; --index) {
    const by_dispatch& streams = running_.at(index);
    std::uint32_t examined = 0;
    for (auto each = streams.rbegin(); each != streams.rend() && examined < max_victims_examined;
         ++each, ++examined) {
      request_record& record = *records_.at(each->second);
      const bool allowed = is_preemptible(record) && !record.server->leaving();
      if (allowed && (cheapest == nullptr || resume_cost(record) < resume_cost(*cheapest))) {
        cheapest = &record;
      }
    }
  }
  return cheapest;
}

}  // namespace hawthornnotch::policy
