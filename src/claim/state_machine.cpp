// Calls from the router: claiming, dispatch, settling and timeouts.
#include "state_machine.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace hawthornnotch::claim {

claim_service::state_machine::state_machine(claim_settings settings, platform::client& platform,
                                            const clock& time, std::string incarnation)
    : settings_(settings),
      time_(time),
      incarnation_(std::move(incarnation)),
      commits_(group_commit::create(platform, time,
                                    {.writes_per_commit = settings.writes_per_commit,
                                     .commits_in_flight = settings.commits_in_flight,
                                     .commit_interval = settings.commit_interval})),
      retention_lease_(std::make_shared<retention_lease>(platform, time, settings.retention)) {}

void claim_service::state_machine::run_deferred(const deferred_calls& calls) {
  commits_->send_ready();
  for (const auto& call : calls) {
    call();
  }
}

std::string claim_service::state_machine::next_nonce() {
  ++last_nonce_number_;
  return incarnation_ + "." + std::to_string(last_nonce_number_);
}

void claim_service::state_machine::claim(claim_request request, claim_callback done) {
  retention_lease_->refresh();
  deferred_calls calls;
  {
    const std::lock_guard lock(mutex_);
    const std::string key = platform_key(request.workspace, request.key);
    const auto local = entries_.find(key);
    std::optional<claim_outcome> outcome;
    if (local != entries_.end()) {
      outcome = outcome_of_local(local->second, request);
    }
    if (!outcome) {
      outcome = refuse_immediately(key);
    }
    if (outcome) {
      calls.emplace_back(
          [done = std::move(done), outcome = std::move(*outcome)] { done(outcome); });
    } else {
      start_attempt(key, std::move(request), std::move(done), calls);
    }
  }
  run_deferred(calls);
}

std::optional<claim_outcome> claim_service::state_machine::outcome_of_local(
    const claim_entry& local, const claim_request& request) {
  if (local.record.fingerprint != request.fingerprint) {
    ++totals_.conflicts_total;
    return key_conflict{};
  }
  if (local.current_phase != phase::settling) {
    return in_progress{settings_.claim_timeout};
  }
  switch (local.record.state) {
    case record_state::done:
      return local.record.answer;
    case record_state::unknown:
      return outcome_unknown{};
    case record_state::claimed:
    case record_state::released:
      return std::nullopt;
  }
  return outcome_unknown{};
}

std::optional<claim_outcome> claim_service::state_machine::refuse_immediately(
    const std::string& key) {
  std::optional<not_run_reason> reason;
  if (stopping_) {
    reason = not_run_reason::stopping;
  } else if (circuit_open()) {
    reason = outage_reason_;
  } else if (!entries_.contains(key) && !evict_if_full()) {
    reason = not_run_reason::table_full;
  }
  if (!reason) {
    return std::nullopt;
  }
  ++totals_.not_run_total;
  return make_not_run(*reason);
}

// Open for `outage_pause`, then half-open: one claim at a time until a write succeeds.
bool claim_service::state_machine::circuit_open() const {
  if (!outage_reason_) {
    return false;
  }
  const bool probing = std::any_of(entries_.begin(), entries_.end(), [](const auto& item) {
    return item.second.current_phase == phase::claiming;
  });
  return probing || time_.now() < circuit_open_until_;
}

not_run claim_service::state_machine::make_not_run(not_run_reason reason) const {
  const duration remaining = circuit_open_until_ - time_.now();
  return {reason, std::max(remaining, settings_.claim_timeout)};
}

// Evicts an unsent attempt that waits for its cleanup.  Its key may then stay `claimed`, which is
// safe: it blocks the key but allows no second execution.
bool claim_service::state_machine::evict_if_full() {
  if (entries_.size() < settings_.live_claims) {
    return true;
  }
  for (auto at = entries_.begin(); at != entries_.end(); ++at) {
    const claim_entry& entry = at->second;
    if (entry.current_phase == phase::settling && entry.record.state == record_state::released &&
        !entry.on_stored) {
      if (entry.pending_write) {
        (void)commits_->cancel(*entry.pending_write);
      }
      entries_.erase(at);
      return true;
    }
  }
  return false;
}

void claim_service::state_machine::start_attempt(const std::string& key, claim_request request,
                                                 claim_callback done, deferred_calls& calls) {
  claim_entry& entry = entries_[key];
  if (!entry.record.nonce.empty()) {
    entry.closed_nonces.push_back(entry.record.nonce);
  }
  if (entry.on_stored) {
    calls.emplace_back([on_stored = std::exchange(entry.on_stored, nullptr)] { on_stored(false); });
  }
  entry.current_phase = phase::claiming;
  entry.record = {record_state::claimed,         next_nonce(), std::move(request.fingerprint),
                  std::move(request.request_id), time_.wall(), {}};
  entry.on_decided = std::move(done);
  entry.deadline = time_.now() + settings_.claim_timeout;
  if (!entry.pending_write) {
    write(key, entry);
  }
}

claim_entry* claim_service::state_machine::find_held(const claim_token& token) {
  const auto at = entries_.find(token.key);
  if (at == entries_.end() || at->second.record.nonce != token.nonce) {
    return nullptr;
  }
  claim_entry& entry = at->second;
  return entry.current_phase == phase::owned || entry.current_phase == phase::dispatched ? &entry
                                                                                         : nullptr;
}

bool claim_service::state_machine::begin_dispatch(const claim_token& token) {
  const std::lock_guard lock(mutex_);
  claim_entry* entry = find_held(token);
  if (entry == nullptr || entry->current_phase == phase::dispatched) {
    return false;
  }
  entry->current_phase = phase::dispatched;
  return true;
}

void claim_service::state_machine::record(const claim_token& token, recorded_answer answer,
                                          stored_callback done) {
  deferred_calls calls;
  {
    const std::lock_guard lock(mutex_);
    claim_entry* entry = find_held(token);
    if (entry == nullptr) {
      calls.emplace_back([done = std::move(done)] { done(false); });
    } else {
      entry->record.answer = limit_body(std::move(answer));
      settle(token.key, *entry, record_state::done, std::move(done));
    }
  }
  run_deferred(calls);
}

void claim_service::state_machine::record_unknown(const claim_token& token) {
  deferred_calls calls;
  {
    const std::lock_guard lock(mutex_);
    if (claim_entry* entry = find_held(token)) {
      settle(token.key, *entry, record_state::unknown, nullptr);
    }
  }
  run_deferred(calls);
}

void claim_service::state_machine::release_unsent(const claim_token& token, stored_callback done) {
  deferred_calls calls;
  {
    const std::lock_guard lock(mutex_);
    claim_entry* entry = find_held(token);
    if (entry == nullptr) {
      calls.emplace_back([done = std::move(done)] { done(false); });
    } else if (entry->current_phase == phase::dispatched) {
      // The request may have been sent.
      calls.emplace_back([done = std::move(done)] { done(false); });
      settle(token.key, *entry, record_state::unknown, nullptr);
    } else {
      settle(token.key, *entry, record_state::released, std::move(done));
    }
  }
  run_deferred(calls);
}

void claim_service::state_machine::settle(const std::string& key, claim_entry& entry,
                                          record_state goal, stored_callback done) {
  entry.current_phase = phase::settling;
  entry.record.state = goal;
  entry.on_stored = std::move(done);
  entry.deadline = time_.now() + settings_.record_timeout;
  if (!entry.pending_write) {
    write(key, entry);
  }
}

recorded_answer claim_service::state_machine::limit_body(recorded_answer answer) const {
  const bool fits = answer.body.size() <= settings_.recorded_body_limit &&
                    answer.body.size() + pending_body_bytes() <= settings_.waiting_body_limit;
  if (!fits) {
    answer.body.clear();
    answer.body_kept = false;
  }
  return answer;
}

std::size_t claim_service::state_machine::pending_body_bytes() const {
  std::size_t bytes = 0;
  for (const auto& [key, entry] : entries_) {
    bytes += entry.record.answer.body.size();
  }
  return bytes;
}

void claim_service::state_machine::stop() {
  const std::lock_guard lock(mutex_);
  stopping_ = true;
}

void claim_service::state_machine::tick() {
  retention_lease_->refresh();
  deferred_calls calls;
  {
    const std::lock_guard lock(mutex_);
    for (auto at = entries_.begin(); at != entries_.end();) {
      const auto next = std::next(at);
      tick_entry(at, calls);
      at = next;
    }
  }
  run_deferred(calls);
}

void claim_service::state_machine::tick_entry(entries::iterator at, deferred_calls& calls) {
  claim_entry& entry = at->second;
  const time_point now = time_.now();
  if (entry.current_phase == phase::claiming && now >= entry.deadline) {
    close_unsent(at, not_run_reason::platform_slow, calls);
    return;
  }
  if (entry.current_phase == phase::settling && entry.on_stored && now >= entry.deadline) {
    calls.emplace_back([on_stored = std::exchange(entry.on_stored, nullptr)] { on_stored(false); });
  }
  const bool needs_write =
      entry.current_phase == phase::claiming || entry.current_phase == phase::settling;
  if (needs_write && !entry.pending_write && now >= entry.retry_at) {
    write(at->first, entry);
  }
}

claim_view claim_service::state_machine::view() const {
  const std::lock_guard lock(mutex_);
  const group_commit::counters commits = commits_->view();
  claim_view snapshot = totals_;
  snapshot.queued_writes = commits.queued;
  snapshot.commits_in_flight = commits.in_flight;
  snapshot.commits = commits.commits;
  snapshot.writes = commits.writes;
  snapshot.failed_commits = commits.failed_commits;
  snapshot.platform_down = outage_reason_.has_value();
  for (const auto& [key, entry] : entries_) {
    snapshot.claiming += entry.current_phase == phase::claiming ? 1 : 0;
    snapshot.owned +=
        entry.current_phase == phase::owned || entry.current_phase == phase::dispatched ? 1 : 0;
    snapshot.settling += entry.current_phase == phase::settling ? 1 : 0;
  }
  return snapshot;
}

}  // namespace hawthornnotch::claim
