// Calls from the router: claims, dispatch, settlement and the passing of time.
#include "engine.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace hawthornnotch::claim {

claim_service::engine::engine(claim_settings settings, platform::client& platform,
                              const clock& time, std::string incarnation)
    : settings_(settings),
      time_(time),
      incarnation_(std::move(incarnation)),
      group_(group_commit::create(platform, time,
                                  {.writes_per_commit = settings.writes_per_commit,
                                   .commits_in_flight = settings.commits_in_flight,
                                   .commit_interval = settings.commit_interval})),
      lease_(std::make_shared<retention_lease>(platform, time, settings.retention)) {}

void claim_service::engine::run(const deferred_calls& calls) {
  group_->pump();
  for (const auto& call : calls) {
    call();
  }
}

std::string claim_service::engine::next_nonce() {
  ++last_number_;
  return incarnation_ + "." + std::to_string(last_number_);
}

void claim_service::engine::claim(claim_request request, verdict_callback done) {
  lease_->refresh();
  deferred_calls calls;
  {
    const std::lock_guard lock(mutex_);
    const std::string key = platform_key(request.workspace, request.key);
    const auto local = entries_.find(key);
    std::optional<verdict> known;
    if (local != entries_.end()) {
      known = verdict_of_local(local->second, request);
    }
    if (!known) {
      known = refuse_at_once(key);
    }
    if (known) {
      calls.emplace_back([done = std::move(done), what = std::move(*known)] { done(what); });
    } else {
      start_attempt(key, std::move(request), std::move(done), calls);
    }
  }
  run(calls);
}

std::optional<verdict> claim_service::engine::verdict_of_local(const claim_entry& local,
                                                               const claim_request& request) {
  if (local.record.fingerprint != request.fingerprint) {
    ++totals_.conflicts_total;
    return key_conflict{};
  }
  if (local.now != phase::settling) {
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

std::optional<verdict> claim_service::engine::refuse_at_once(const std::string& key) {
  std::optional<not_run_reason> why;
  if (stopping_) {
    why = not_run_reason::stopping;
  } else if (platform_suspect()) {
    why = outage_;
  } else if (!entries_.contains(key) && !make_room()) {
    why = not_run_reason::table_full;
  }
  if (!why) {
    return std::nullopt;
  }
  ++totals_.not_run_total;
  return refusal(*why);
}

// After a failed write: a pause, then one claim at a time until a write succeeds.
bool claim_service::engine::platform_suspect() const {
  if (!outage_) {
    return false;
  }
  const bool probing = std::any_of(entries_.begin(), entries_.end(), [](const auto& one) {
    return one.second.now == phase::claiming;
  });
  return probing || time_.now() < refuse_until_;
}

not_run claim_service::engine::refusal(not_run_reason why) const {
  const duration left = refuse_until_ - time_.now();
  return {why, std::max(left, settings_.claim_timeout)};
}

// A closed attempt that waits for its clean-up may go: without it the key stays `claimed`, which
// is the safe side.
bool claim_service::engine::make_room() {
  if (entries_.size() < settings_.live_claims) {
    return true;
  }
  for (auto at = entries_.begin(); at != entries_.end(); ++at) {
    const claim_entry& entry = at->second;
    if (entry.now == phase::settling && entry.record.state == record_state::released &&
        !entry.stored) {
      if (entry.writing) {
        (void)group_->withdraw(*entry.writing);
      }
      entries_.erase(at);
      return true;
    }
  }
  return false;
}

void claim_service::engine::start_attempt(const std::string& key, claim_request request,
                                          verdict_callback done, deferred_calls& calls) {
  claim_entry& entry = entries_[key];
  if (!entry.record.nonce.empty()) {
    entry.closed_nonces.push_back(entry.record.nonce);
  }
  if (entry.stored) {
    calls.emplace_back([stored = std::exchange(entry.stored, nullptr)] { stored(false); });
  }
  entry.now = phase::claiming;
  entry.record = {record_state::claimed,         next_nonce(), std::move(request.fingerprint),
                  std::move(request.request_id), time_.wall(), {}};
  entry.decided = std::move(done);
  entry.deadline = time_.now() + settings_.claim_timeout;
  if (!entry.writing) {
    write(key, entry);
  }
}

claim_entry* claim_service::engine::held_by(const claim_token& token) {
  const auto at = entries_.find(token.key);
  if (at == entries_.end() || at->second.record.nonce != token.nonce) {
    return nullptr;
  }
  claim_entry& entry = at->second;
  return entry.now == phase::owned || entry.now == phase::dispatched ? &entry : nullptr;
}

bool claim_service::engine::begin_dispatch(const claim_token& token) {
  const std::lock_guard lock(mutex_);
  claim_entry* entry = held_by(token);
  if (entry == nullptr || entry->now == phase::dispatched) {
    return false;
  }
  entry->now = phase::dispatched;
  return true;
}

void claim_service::engine::record(const claim_token& token, recorded answer,
                                   stored_callback done) {
  deferred_calls calls;
  {
    const std::lock_guard lock(mutex_);
    claim_entry* entry = held_by(token);
    if (entry == nullptr) {
      calls.emplace_back([done = std::move(done)] { done(false); });
    } else {
      entry->record.answer = bounded(std::move(answer));
      settle(token.key, *entry, record_state::done, std::move(done));
    }
  }
  run(calls);
}

void claim_service::engine::record_unknown(const claim_token& token) {
  deferred_calls calls;
  {
    const std::lock_guard lock(mutex_);
    if (claim_entry* entry = held_by(token)) {
      settle(token.key, *entry, record_state::unknown, nullptr);
    }
  }
  run(calls);
}

void claim_service::engine::release_unsent(const claim_token& token, stored_callback done) {
  deferred_calls calls;
  {
    const std::lock_guard lock(mutex_);
    claim_entry* entry = held_by(token);
    if (entry == nullptr) {
      calls.emplace_back([done = std::move(done)] { done(false); });
    } else if (entry->now == phase::dispatched) {
      // Something may have left: the key is settled, but not as unsent.
      calls.emplace_back([done = std::move(done)] { done(false); });
      settle(token.key, *entry, record_state::unknown, nullptr);
    } else {
      settle(token.key, *entry, record_state::released, std::move(done));
    }
  }
  run(calls);
}

void claim_service::engine::settle(const std::string& key, claim_entry& entry, record_state goal,
                                   stored_callback done) {
  entry.now = phase::settling;
  entry.record.state = goal;
  entry.stored = std::move(done);
  entry.deadline = time_.now() + settings_.record_timeout;
  if (!entry.writing) {
    write(key, entry);
  }
}

recorded claim_service::engine::bounded(recorded answer) const {
  const bool fits = answer.body.size() <= settings_.recorded_body_limit &&
                    answer.body.size() + waiting_body_bytes() <= settings_.waiting_body_limit;
  if (!fits) {
    answer.body.clear();
    answer.body_kept = false;
  }
  return answer;
}

std::size_t claim_service::engine::waiting_body_bytes() const {
  std::size_t bytes = 0;
  for (const auto& [key, entry] : entries_) {
    bytes += entry.record.answer.body.size();
  }
  return bytes;
}

void claim_service::engine::stop() {
  const std::lock_guard lock(mutex_);
  stopping_ = true;
}

void claim_service::engine::tick() {
  lease_->refresh();
  deferred_calls calls;
  {
    const std::lock_guard lock(mutex_);
    for (auto at = entries_.begin(); at != entries_.end();) {
      const auto next = std::next(at);
      tick_entry(at, calls);
      at = next;
    }
  }
  run(calls);
}

void claim_service::engine::tick_entry(entries::iterator at, deferred_calls& calls) {
  claim_entry& entry = at->second;
  const time_point now = time_.now();
  if (entry.now == phase::claiming && now >= entry.deadline) {
    close_unsent(at, not_run_reason::platform_slow, calls);
    return;
  }
  if (entry.now == phase::settling && entry.stored && now >= entry.deadline) {
    calls.emplace_back([stored = std::exchange(entry.stored, nullptr)] { stored(false); });
  }
  const bool wants_write = entry.now == phase::claiming || entry.now == phase::settling;
  if (wants_write && !entry.writing && now >= entry.retry_at) {
    write(at->first, entry);
  }
}

claim_view claim_service::engine::view() const {
  const std::lock_guard lock(mutex_);
  const group_commit::counters commits = group_->view();
  claim_view seen = totals_;
  seen.queued_writes = commits.queued;
  seen.commits_in_flight = commits.in_flight;
  seen.commits = commits.commits;
  seen.writes = commits.writes;
  seen.failed_commits = commits.failed_commits;
  seen.platform_down = outage_.has_value();
  for (const auto& [key, entry] : entries_) {
    seen.claiming += entry.now == phase::claiming ? 1 : 0;
    seen.owned += entry.now == phase::owned || entry.now == phase::dispatched ? 1 : 0;
    seen.settling += entry.now == phase::settling ? 1 : 0;
  }
  return seen;
}

}  // namespace hawthornnotch::claim
