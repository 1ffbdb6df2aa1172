// Events of running requests; the rest of `service_queue` stands in service_queue.cpp.
#include <algorithm>

#include "hawthornnotch/policy/service_queue.h"

namespace hawthornnotch::policy {

request_record* service_queue::running(ticket request, std::uint32_t attempt) {
  const auto found = records_.find(request);
  if (found == records_.end()) {
    return nullptr;
  }
  request_record& record = *found->second;
  const bool current = record.phase != request_phase::queued && record.attempt == attempt;
  return current ? &record : nullptr;
}

void service_queue::on_first_token(ticket request, std::uint32_t attempt, time_point now) {
  request_record* record = running(request, attempt);
  if (record == nullptr) {
    return;
  }
  const duration waited = now - record->dispatched;
  const bool is_start = record->tokens == 0;
  const auto target =
      is_start ? record->profile.traffic_class.target.first_token : std::optional<duration>();
  record->server->on_first_token(waited, target, now);
  first_token_ms_.add(static_cast<double>(waited.ms), 1.0, now);
  stop_awaiting(*record);
  record->last_token = now;
  record->first_uncounted = true;
}

void service_queue::on_tokens(ticket request, std::uint32_t attempt, std::uint32_t count,
                              time_point now) {
  request_record* record = running(request, attempt);
  if (record == nullptr || count == 0) {
    return;
  }
  record->tokens += count;
  totals_.tokens += count;
  const std::uint32_t timed = record->first_uncounted ? count - 1 : count;
  record->first_uncounted = false;
  if (timed > 0) {
    const duration span = now - record->last_token;
    record->server->on_tokens(timed, span, now);
    per_token_ms_.add(static_cast<double>(span.ms) / timed, timed, now);
  }
  record->last_token = now;
}

void service_queue::on_finished(ticket request, std::uint32_t attempt, attempt_end end,
                                time_point now) {
  request_record* record = running(request, attempt);
  if (record == nullptr) {
    return;
  }
  const bool again = end == attempt_end::preempted && record->profile.traffic_class.idempotent;
  const bool was_stopped = record->phase == request_phase::stopping;
  stop_running(*record, again, now);
  if (again) {
    if (was_stopped && !record->yields_to_sent) {
      take_over(record->server, tier_of(*record), now);
    }
    enqueue(*record, true, now);
    return;
  }
  if (end == attempt_end::completed) {
    ++totals_.completed;
    record->server->on_success();
    record->workspace->on_answer(record->profile.traffic_class.name, record->tokens);
  } else {
    totals_.wasted_tokens += record->tokens;
  }
  if (end == attempt_end::connect_failed || end == attempt_end::stream_failed) {
    record->server->on_failure(now);
  }
  forget(request, end, now);
}

// A try after which no work is repeated costs the workspace no retry: nothing ran, or the next try
// resumes behind tokens that this one brought.  Tries that repeat work are kept to a share, so that
// they can't multiply an overload.
bool service_queue::may_retry(request_record& record, attempt_end end) {
  const bool nothing_ran = end == attempt_end::connect_failed;
  if (!record.profile.traffic_class.idempotent && !nothing_ran) {
    return false;
  }
  if (++record.failures >= settings_.retry.max_attempts) {
    return false;
  }
  const bool made_progress = record.tokens > record.tokens_before;
  return nothing_ran || made_progress || record.workspace->take_retry();
}

bool service_queue::retry(ticket request, std::uint32_t attempt, attempt_end end, time_point now) {
  request_record* record = running(request, attempt);
  if (record == nullptr) {
    return false;
  }
  if (end == attempt_end::server_busy) {
    record->server->on_busy(now);
  } else {
    record->server->on_failure(now);
  }
  const bool again = may_retry(*record, end);
  stop_running(*record, again, now);
  if (!again) {
    totals_.wasted_tokens += record->tokens;
    forget(request, end, now);
    return false;
  }
  ++totals_.retried;
  record->failed_at = record->server;
  enqueue(*record, true, now);
  return true;
}

void service_queue::on_caller_gone(ticket request, time_point now) {
  const auto found = records_.find(request);
  if (found == records_.end()) {
    return;
  }
  request_record& record = *found->second;
  totals_.wasted_tokens += record.tokens;
  if (record.phase == request_phase::queued) {
    queue_.remove(request);
    record.workspace->on_left_queue();
  } else {
    stop_running(record, false, now);
  }
  forget(request, attempt_end::caller_gone, now);
}

void service_queue::stop_running(request_record& record, bool queued_again, time_point now) {
  const std::pair key{record.dispatched.ms, record.request};
  running_.at(tier_of(record)).erase(key);
  running_at_.at(record.server.get()).at(tier_of(record)).erase(key);
  stop_awaiting(record);
  if (record.phase == request_phase::stopping) {
    --stopping_;
  }
  record.server->end(now);
  record.workspace->on_stopped(queued_again);
  if (const auto index = candidates_.index_of(record.server.get())) {
    candidates_.refresh(*index, now);
  }
}

void service_queue::forget(ticket request, attempt_end end, time_point now) {
  const auto found = records_.find(request);
  note(*found->second, now, trace_event_kind::finished, static_cast<std::int64_t>(end));
  keep_notes(*found->second);
  records_.erase(found);
}

void service_queue::note(request_record& record, time_point now, trace_event_kind kind,
                         std::int64_t value) {
  if (record.notes.size() >= most_notes) {
    record.notes.erase(record.notes.begin());
  }
  std::string server = record.server ? record.server->facts().id : std::string();
  record.notes.push_back({now, kind, std::move(server), value});
}

void service_queue::note_once(request_record& record, time_point now, trace_event_kind kind,
                              std::int64_t value) {
  if (record.notes.empty() || record.notes.back().kind != kind) {
    note(record, now, kind, value);
  }
}

void service_queue::keep_notes(request_record& record) {
  ended_.emplace_back(record.request, std::move(record.notes));
}

const request_record* service_queue::find(ticket request) const {
  const auto found = records_.find(request);
  return found == records_.end() ? nullptr : found->second.get();
}

std::vector<std::pair<ticket, std::vector<trace_event>>> service_queue::take_ended_notes() {
  return std::exchange(ended_, {});
}

service_view service_queue::view() const {
  service_view view;
  view.serves = serves_;
  for (int index = 0; index < tier_count; ++index) {
    const auto service_tier = static_cast<tier>(index);
    view.queued.at(index) = static_cast<std::uint32_t>(queue_.size(service_tier));
    view.running.at(index) = static_cast<std::uint32_t>(running_.at(index).size());
    view.drain_rate.at(index) = drain_.at(index).rate();
  }
  view.candidates = static_cast<std::uint32_t>(candidates_.size());
  view.ejected = candidates_.ejected();
  return view;
}

}  // namespace hawthornnotch::policy
