// Writes to the store and the handling of their outcomes.
#include <algorithm>
#include <utility>

#include "state_machine.h"

namespace hawthornnotch::claim {

void claim_service::state_machine::write(const std::string& key, claim_entry& entry) {
  conditional_write request;
  if (entry.replaceable_revision == 0) {
    request.condition = platform::must_be_absent{key};
  } else {
    request.condition = platform::must_be_unchanged{key, entry.replaceable_revision};
  }
  // An unsettled claim has no lease, so that it never expires.
  const bool settled = entry.record.state != record_state::claimed;
  const std::int64_t lease = settled ? retention_lease_->usable_lease() : 0;
  request.effect = {key, to_text(entry.record), lease};
  totals_.stored_without_lease += settled && lease == 0 ? 1 : 0;
  const std::uint64_t number = ++last_write_number_;
  entry.write_number = number;
  entry.pending_write = commits_->submit(
      std::move(request), [weak = weak_from_this(), key, number](write_outcome outcome) {
        if (const auto self = weak.lock()) {
          self->write_finished(key, number, outcome);
        }
      });
  entry.written_nonce = entry.record.nonce;
  entry.written_state = entry.record.state;
}

void claim_service::state_machine::write_finished(const std::string& key, std::uint64_t number,
                                                  const write_outcome& outcome) {
  deferred_calls calls;
  {
    const std::lock_guard lock(mutex_);
    const auto at = entries_.find(key);
    if (at != entries_.end() && at->second.write_number == number) {
      at->second.pending_write.reset();
      std::visit(
          overloaded{
              [&](const write_applied& applied) { on_applied(at, applied.mod_revision, calls); },
              [&](const write_conflict& conflict) { on_conflict(at, conflict.current, calls); },
              [&](const platform::platform_failure& failure) { on_failure(at, failure, calls); }},
          outcome);
    }
  }
  run_deferred(calls);
}

void claim_service::state_machine::on_applied(entries::iterator at, std::int64_t mod_revision,
                                              deferred_calls& calls) {
  on_platform_success();
  claim_entry& entry = at->second;
  entry.replaceable_revision = mod_revision;
  const bool current =
      entry.written_nonce == entry.record.nonce && entry.written_state == entry.record.state;
  if (!current) {
    write(at->first, entry);
  } else if (entry.current_phase == phase::claiming) {
    become_owned(entry, at->first, calls);
  } else {
    finish(at, true, calls);
  }
}

void claim_service::state_machine::on_conflict(entries::iterator at,
                                               const std::optional<platform::key_value>& current,
                                               deferred_calls& calls) {
  on_platform_success();
  claim_entry& entry = at->second;
  if (!current) {
    entry.replaceable_revision = 0;
    write(at->first, entry);
    return;
  }
  // A value that this release can't parse counts as an attempt of another process that may have
  // run.
  const claim_record stored =
      parse_record(current->value)
          .value_or(claim_record{record_state::unknown, {}, entry.record.fingerprint, {}, {}, {}});
  if (entry.current_phase == phase::claiming) {
    on_claiming_conflict(at, stored, current->mod_revision, calls);
  } else {
    on_settling_conflict(at, stored, current->mod_revision, calls);
  }
}

void claim_service::state_machine::on_claiming_conflict(entries::iterator at,
                                                        const claim_record& stored,
                                                        std::int64_t mod_revision,
                                                        deferred_calls& calls) {
  claim_entry& entry = at->second;
  if (stored.nonce == entry.record.nonce) {
    entry.replaceable_revision = mod_revision;
    become_owned(entry, at->first, calls);
    return;
  }
  const bool closed_here = std::find(entry.closed_nonces.begin(), entry.closed_nonces.end(),
                                     stored.nonce) != entry.closed_nonces.end();
  const bool same_request = stored.fingerprint == entry.record.fingerprint;
  if (same_request && (closed_here || stored.state == record_state::released)) {
    entry.replaceable_revision = mod_revision;
    write(at->first, entry);
    return;
  }
  decide(entry, outcome_of_stored(entry, stored), calls);
  entries_.erase(at);
}

claim_outcome claim_service::state_machine::outcome_of_stored(const claim_entry& entry,
                                                              const claim_record& stored) const {
  if (stored.fingerprint != entry.record.fingerprint) {
    return key_conflict{};
  }
  switch (stored.state) {
    case record_state::done:
      return stored.answer;
    case record_state::claimed:
      if (time_.wall() - stored.claimed_at < settings_.in_progress_limit) {
        return in_progress{settings_.claim_timeout};
      }
      return outcome_unknown{};
    case record_state::unknown:
    case record_state::released:
      return outcome_unknown{};
  }
  return outcome_unknown{};
}

void claim_service::state_machine::on_settling_conflict(entries::iterator at,
                                                        const claim_record& stored,
                                                        std::int64_t mod_revision,
                                                        deferred_calls& calls) {
  claim_entry& entry = at->second;
  const bool ours = stored.nonce == entry.record.nonce ||
                    std::find(entry.closed_nonces.begin(), entry.closed_nonces.end(),
                              stored.nonce) != entry.closed_nonces.end();
  if (ours && stored.state == entry.record.state) {
    finish(at, true, calls);
  } else if (ours && stored.state == record_state::claimed) {
    entry.replaceable_revision = mod_revision;
    write(at->first, entry);
  } else {
    // Another attempt holds the key, so a late write of an unsent one of ours can't apply any more.
    finish(at, entry.record.state == record_state::released, calls);
  }
}

void claim_service::state_machine::on_failure(entries::iterator at,
                                              const platform::platform_failure& failure,
                                              deferred_calls& calls) {
  claim_entry& entry = at->second;
  if (failure.kind == platform::failure_kind::lease_gone) {
    retention_lease_->discard();
    write(at->first, entry);
    return;
  }
  const bool down = failure.kind == platform::failure_kind::unreachable;
  on_platform_failure(down);
  entry.may_have_applied = entry.may_have_applied || failure.may_have_taken_effect;
  entry.retry_at = time_.now() + settings_.retry_pause;
  if (entry.current_phase == phase::claiming && down) {
    close_unsent(at, not_run_reason::platform_down, calls);
  } else if (needs_no_cleanup(entry)) {
    entries_.erase(at);
  }
}

void claim_service::state_machine::on_platform_success() {
  outage_reason_.reset();
  failing_since_.reset();
}

// Opens the circuit breaker on a refused connection or after failures for `outage_pause`.  A single
// lost answer does not open it.
void claim_service::state_machine::on_platform_failure(bool down) {
  const time_point now = time_.now();
  if (!failing_since_) {
    failing_since_ = now;
  }
  if (down || now - *failing_since_ >= settings_.outage_pause) {
    outage_reason_ = down ? not_run_reason::platform_down : not_run_reason::platform_slow;
    circuit_open_until_ = now + settings_.outage_pause;
  }
}

// True for an unsent attempt none of whose writes can have been applied.
bool claim_service::state_machine::needs_no_cleanup(const claim_entry& entry) {
  return entry.current_phase == phase::settling && entry.record.state == record_state::released &&
         entry.replaceable_revision == 0 && !entry.may_have_applied && !entry.on_stored;
}

void claim_service::state_machine::decide(claim_entry& entry, claim_outcome outcome,
                                          deferred_calls& calls) {
  totals_.not_run_total += std::holds_alternative<not_run>(outcome) ? 1 : 0;
  totals_.conflicts_total += std::holds_alternative<key_conflict>(outcome) ? 1 : 0;
  totals_.owned_total += std::holds_alternative<owned>(outcome) ? 1 : 0;
  calls.emplace_back([on_decided = std::exchange(entry.on_decided, nullptr),
                      outcome = std::move(outcome)] { on_decided(outcome); });
}

void claim_service::state_machine::become_owned(claim_entry& entry, const std::string& key,
                                                deferred_calls& calls) {
  entry.current_phase = phase::owned;
  entry.closed_nonces.clear();
  decide(entry, owned{{key, entry.record.nonce}}, calls);
}

void claim_service::state_machine::close_unsent(entries::iterator at, not_run_reason reason,
                                                deferred_calls& calls) {
  claim_entry& entry = at->second;
  decide(entry, make_not_run(reason), calls);
  if (entry.pending_write && commits_->cancel(*entry.pending_write)) {
    entry.pending_write.reset();
  }
  if (!entry.pending_write && !entry.may_have_applied) {
    entries_.erase(at);
    return;
  }
  entry.current_phase = phase::settling;
  entry.record.state = record_state::released;
}

void claim_service::state_machine::finish(entries::iterator at, bool stored,
                                          deferred_calls& calls) {
  if (at->second.on_stored) {
    calls.emplace_back([done = std::move(at->second.on_stored), stored] { done(stored); });
  }
  entries_.erase(at);
}

}  // namespace hawthornnotch::claim
