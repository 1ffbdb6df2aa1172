// What the store answers, and what follows from it.
#include <algorithm>
#include <utility>

#include "engine.h"

namespace hawthornnotch::claim {

void claim_service::engine::write(const std::string& key, claim_entry& entry) {
  guarded_write what;
  if (entry.replaceable == 0) {
    what.guard = platform::must_be_absent{key};
  } else {
    what.guard = platform::must_be_unchanged{key, entry.replaceable};
  }
  // A claim that is not settled never ends by itself.
  const bool settles = entry.record.state != record_state::claimed;
  const std::int64_t lease = settles ? lease_->usable() : 0;
  what.effect = {key, to_text(entry.record), lease};
  totals_.stored_without_lease += settles && lease == 0 ? 1 : 0;
  const std::uint64_t number = ++last_write_;
  entry.write_number = number;
  entry.writing =
      group_->submit(std::move(what), [held = weak_from_this(), key, number](write_outcome seen) {
        if (const auto self = held.lock()) {
          self->write_finished(key, number, seen);
        }
      });
  entry.writing_nonce = entry.record.nonce;
  entry.writing_state = entry.record.state;
}

void claim_service::engine::write_finished(const std::string& key, std::uint64_t number,
                                           const write_outcome& seen) {
  deferred_calls calls;
  {
    const std::lock_guard lock(mutex_);
    const auto at = entries_.find(key);
    if (at != entries_.end() && at->second.write_number == number) {
      at->second.writing.reset();
      std::visit(
          overloaded{[&](const write_applied& put) { on_applied(at, put.mod_revision, calls); },
                     [&](const write_conflict& met) { on_conflict(at, met.current, calls); },
                     [&](const platform::platform_failure& why) { on_failure(at, why, calls); }},
          seen);
    }
  }
  run(calls);
}

void claim_service::engine::on_applied(entries::iterator at, std::int64_t mod_revision,
                                       deferred_calls& calls) {
  platform_answered();
  claim_entry& entry = at->second;
  entry.replaceable = mod_revision;
  const bool current =
      entry.writing_nonce == entry.record.nonce && entry.writing_state == entry.record.state;
  if (!current) {
    write(at->first, entry);
  } else if (entry.now == phase::claiming) {
    become_owned(entry, at->first, calls);
  } else {
    finish(at, true, calls);
  }
}

void claim_service::engine::on_conflict(entries::iterator at,
                                        const std::optional<platform::key_value>& current,
                                        deferred_calls& calls) {
  platform_answered();
  claim_entry& entry = at->second;
  if (!current) {
    entry.replaceable = 0;
    write(at->first, entry);
    return;
  }
  // A value of another release has no nonce of ours: it counts as sent by somebody.
  const claim_record seen =
      parse_record(current->value)
          .value_or(claim_record{record_state::unknown, {}, entry.record.fingerprint, {}, {}, {}});
  if (entry.now == phase::claiming) {
    claiming_met(at, seen, current->mod_revision, calls);
  } else {
    settling_met(at, seen, current->mod_revision, calls);
  }
}

void claim_service::engine::claiming_met(entries::iterator at, const claim_record& seen,
                                         std::int64_t mod_revision, deferred_calls& calls) {
  claim_entry& entry = at->second;
  if (seen.nonce == entry.record.nonce) {
    entry.replaceable = mod_revision;
    become_owned(entry, at->first, calls);
    return;
  }
  const bool closed_here = std::find(entry.closed_nonces.begin(), entry.closed_nonces.end(),
                                     seen.nonce) != entry.closed_nonces.end();
  const bool same_request = seen.fingerprint == entry.record.fingerprint;
  if (same_request && (closed_here || seen.state == record_state::released)) {
    entry.replaceable = mod_revision;
    write(at->first, entry);
    return;
  }
  decide(entry, verdict_of_other(entry, seen), calls);
  entries_.erase(at);
}

verdict claim_service::engine::verdict_of_other(const claim_entry& entry,
                                                const claim_record& seen) const {
  if (seen.fingerprint != entry.record.fingerprint) {
    return key_conflict{};
  }
  switch (seen.state) {
    case record_state::done:
      return seen.answer;
    case record_state::claimed:
      if (time_.wall() - seen.claimed_at < settings_.in_progress_limit) {
        return in_progress{settings_.claim_timeout};
      }
      return outcome_unknown{};
    case record_state::unknown:
    case record_state::released:
      return outcome_unknown{};
  }
  return outcome_unknown{};
}

void claim_service::engine::settling_met(entries::iterator at, const claim_record& seen,
                                         std::int64_t mod_revision, deferred_calls& calls) {
  claim_entry& entry = at->second;
  const bool ours = seen.nonce == entry.record.nonce ||
                    std::find(entry.closed_nonces.begin(), entry.closed_nonces.end(), seen.nonce) !=
                        entry.closed_nonces.end();
  if (ours && seen.state == entry.record.state) {
    finish(at, true, calls);
  } else if (ours && seen.state == record_state::claimed) {
    entry.replaceable = mod_revision;
    write(at->first, entry);
  } else {
    // Another attempt has the key: an unsent one of ours can't land any more.
    finish(at, entry.record.state == record_state::released, calls);
  }
}

void claim_service::engine::on_failure(entries::iterator at, const platform::platform_failure& why,
                                       deferred_calls& calls) {
  claim_entry& entry = at->second;
  if (why.kind == platform::failure_kind::lease_gone) {
    lease_->drop();
    write(at->first, entry);
    return;
  }
  const bool down = why.kind == platform::failure_kind::unreachable;
  platform_failed(down);
  entry.may_have_landed = entry.may_have_landed || why.may_have_taken_effect;
  entry.retry_at = time_.now() + settings_.retry_pause;
  if (entry.now == phase::claiming && down) {
    close_unsent(at, not_run_reason::platform_down, calls);
  } else if (nothing_landed(entry)) {
    entries_.erase(at);
  }
}

void claim_service::engine::platform_answered() {
  outage_.reset();
  failing_since_.reset();
}

// One lost answer is no outage; a refused connection, or failures for a while, are.
void claim_service::engine::platform_failed(bool down) {
  const time_point now = time_.now();
  if (!failing_since_) {
    failing_since_ = now;
  }
  if (down || now - *failing_since_ >= settings_.outage_pause) {
    outage_ = down ? not_run_reason::platform_down : not_run_reason::platform_slow;
    refuse_until_ = now + settings_.outage_pause;
  }
}

// A closed attempt of which nothing can stand in the store needs no clean-up.
bool claim_service::engine::nothing_landed(const claim_entry& entry) {
  return entry.now == phase::settling && entry.record.state == record_state::released &&
         entry.replaceable == 0 && !entry.may_have_landed && !entry.stored;
}

void claim_service::engine::decide(claim_entry& entry, verdict what, deferred_calls& calls) {
  totals_.not_run_total += std::holds_alternative<not_run>(what) ? 1 : 0;
  totals_.conflicts_total += std::holds_alternative<key_conflict>(what) ? 1 : 0;
  totals_.owned_total += std::holds_alternative<owned>(what) ? 1 : 0;
  calls.emplace_back(
      [decided = std::exchange(entry.decided, nullptr), what = std::move(what)] { decided(what); });
}

void claim_service::engine::become_owned(claim_entry& entry, const std::string& key,
                                         deferred_calls& calls) {
  entry.now = phase::owned;
  entry.closed_nonces.clear();
  decide(entry, owned{{key, entry.record.nonce}}, calls);
}

void claim_service::engine::close_unsent(entries::iterator at, not_run_reason why,
                                         deferred_calls& calls) {
  claim_entry& entry = at->second;
  decide(entry, refusal(why), calls);
  if (entry.writing && group_->withdraw(*entry.writing)) {
    entry.writing.reset();
  }
  if (!entry.writing && !entry.may_have_landed) {
    entries_.erase(at);
    return;
  }
  entry.now = phase::settling;
  entry.record.state = record_state::released;
}

void claim_service::engine::finish(entries::iterator at, bool stored, deferred_calls& calls) {
  if (at->second.stored) {
    calls.emplace_back([done = std::move(at->second.stored), stored] { done(stored); });
  }
  entries_.erase(at);
}

}  // namespace hawthornnotch::claim
