// The part of the dispatcher that follows sendings and learns from how they go.
#include <algorithm>
#include <cmath>

#include "hawthornnotch/dispatch/dispatcher.h"

namespace hawthornnotch::dispatch {

namespace {

/// A prompt must be this long, in tokens, for its time to tell the reading speed.
constexpr std::uint32_t least_timed_tokens = 2'000;
/// Weight of one timed prompt in the reading speed.
constexpr double prefill_learning = 0.05;
/// Time after which a failure domain that could not be reached is tried again.
constexpr duration domain_retry{3'000};

}  // namespace

attempt dispatcher::sent(const placement& chosen, std::vector<prompt_prefix> prefixes,
                         time_point now) {
  server_state& state = state_of(chosen.server);
  ++state.running;
  state.sensitive += chosen.gap_sensitive ? 1 : 0;
  state.prefill_tokens += chosen.uncached_tokens;
  state.cache.used(prefixes);
  attempt out;
  out.server = chosen.server.id;
  out.failure_domain = chosen.server.failure_domain;
  out.start_time_ms = chosen.server.start_time_ms;
  out.uncached_tokens = chosen.uncached_tokens;
  out.prefixes = std::move(prefixes);
  out.gap_sensitive = chosen.gap_sensitive;
  out.sent_at = now;
  out.last_event_at = now;
  return out;
}

void dispatcher::events(attempt& what, std::uint32_t count, time_point now) {
  server_state* state = state_of(what);
  if (state == nullptr || count == 0) {
    return;
  }
  if (!what.first_event_seen) {
    what.first_event_seen = true;
    learn_prefill(what, *state, now);
    state->prefill_tokens -= std::min<std::uint64_t>(state->prefill_tokens, what.uncached_tokens);
  } else {
    const double gap = static_cast<double>((now - what.last_event_at).ms) / count;
    state->pace.seen(gap, now);
  }
  what.last_event_at = now;
}

// A prompt that had the server to itself tells how fast prompts are read.
void dispatcher::learn_prefill(const attempt& what, const server_state& state, time_point now) {
  const bool alone = state.all_prefill_tokens() <= what.uncached_tokens;
  if (!alone || what.uncached_tokens < least_timed_tokens) {
    return;
  }
  const double passed = static_cast<double>((now - what.sent_at).ms);
  if (passed <= 0) {
    return;
  }
  const double speed = what.uncached_tokens / passed;
  tokens_per_ms_ += prefill_learning * (speed - tokens_per_ms_);
}

void dispatcher::learn_reachability(const attempt& what, attempt_end end, time_point now) {
  if (end == attempt_end::abandoned) {
    return;
  }
  reachability& domain = domains_[what.failure_domain];
  const bool missing = end == attempt_end::connect_failed;
  domain.missing.add(missing ? 1.0 : 0.0, 1.0, now);
  if (missing) {
    domain.last_missing = now;
  }
}

double dispatcher::unreachable_share(std::string_view failure_domain, time_point now) const {
  const auto found = domains_.find(failure_domain);
  const bool lately = found != domains_.end() && now - found->second.last_missing < domain_retry;
  return lately ? found->second.missing.value() : 0.0;
}

void dispatcher::ended(const attempt& what, attempt_end end, time_point now) {
  learn_reachability(what, end, now);
  server_state* state = state_of(what);
  if (state == nullptr) {
    return;
  }
  state->running -= std::min(state->running, 1U);
  state->sensitive -= std::min(state->sensitive, what.gap_sensitive ? 1U : 0U);
  if (!what.first_event_seen) {
    state->prefill_tokens -= std::min<std::uint64_t>(state->prefill_tokens, what.uncached_tokens);
  }
  state->health.record(end, now);
  const bool whole_answer = end == attempt_end::completed || end == attempt_end::server_error;
  if (what.prefixes.empty() && whole_answer) {
    state->answer_ms.add(static_cast<double>((now - what.sent_at).ms), 1.0, now);
  }
}

void dispatcher::pause(const attempt& what, duration time, time_point now) {
  server_state* state = state_of(what);
  if (state != nullptr) {
    state->pause.ask(time, now);
  }
}

bool dispatcher::accepts_requests(const servers::server_entry& server, time_point now) const {
  const servers::server_entry* listed = list_.find(server.id);
  if (listed == nullptr || listed->leaving || listed->start_time_ms != server.start_time_ms) {
    return false;
  }
  const auto state = states_.find(server.id);
  return state == states_.end() || !state->second.pause.lasts(now);
}

std::optional<duration> dispatcher::shortest_remaining_pause(std::string_view service,
                                                             time_point now) const {
  std::optional<duration> first;
  for (const servers::server_entry* server : list_.serving(service)) {
    const auto state = states_.find(server->id);
    if (state == states_.end() || !state->second.pause.lasts(now)) {
      continue;
    }
    const duration remaining = state->second.pause.remaining(now);
    first = first ? std::min(*first, remaining) : remaining;
  }
  return first;
}

}  // namespace hawthornnotch::dispatch
