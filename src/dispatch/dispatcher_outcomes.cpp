// The part of the dispatcher that tracks attempts and learns from their outcomes.
#include <algorithm>
#include <cmath>

#include "hawthornnotch/dispatch/dispatcher.h"

namespace hawthornnotch::dispatch {

namespace {

/// Minimum uncached prompt length whose prefill time is used to estimate the speed, in tokens.
constexpr std::uint32_t min_timed_tokens = 2'000;
/// Weight of one timed prompt in the estimated prefill speed.
constexpr double prefill_smoothing = 0.05;
/// Time after the last failed connection from which a failure domain is tried again.
constexpr duration domain_retry_delay{3'000};

}  // namespace

attempt dispatcher::begin_attempt(const placement& chosen, std::vector<prompt_prefix> prefixes,
                                  time_point now) {
  server_state& state = state_of(chosen.server);
  ++state.running;
  ++state.unstarted;
  state.sensitive += chosen.gap_sensitive ? 1 : 0;
  state.prefill_tokens += chosen.uncached_tokens;
  state.cache.touch(prefixes);
  if (!prefixes.empty()) {
    load_of(chosen.server.service).prompt_tokens.add(chosen.uncached_tokens, 1.0, now);
  }
  attempt out;
  out.server = chosen.server.id;
  out.failure_domain = chosen.server.failure_domain;
  out.start_time_ms = chosen.server.start_time_ms;
  out.uncached_tokens = chosen.uncached_tokens;
  out.prefixes = std::move(prefixes);
  out.gap_sensitive = chosen.gap_sensitive;
  out.sent_at = now;
  out.last_event_at = now;
  out.allowance = limits_.take({out.server, out.start_time_ms}, now);
  return out;
}

void dispatcher::record_events(attempt& tracked, std::uint32_t count, time_point now) {
  server_state* state = state_of(tracked);
  if (state == nullptr || count == 0) {
    return;
  }
  if (!tracked.first_event_seen) {
    tracked.first_event_seen = true;
    update_prefill_speed(tracked, *state, now);
    state->unstarted -= std::min(state->unstarted, 1U);
    state->prefill_tokens -=
        std::min<std::uint64_t>(state->prefill_tokens, tracked.uncached_tokens);
  } else {
    const double gap = static_cast<double>((now - tracked.last_event_at).ms) / count;
    state->pace.record_local(gap, now);
  }
  tracked.last_event_at = now;
}

// Only a prompt that no other prefill delayed shows the prefill speed.
void dispatcher::update_prefill_speed(const attempt& tracked, const server_state& state,
                                      time_point now) {
  const bool alone = state.all_prefill_tokens() <= tracked.uncached_tokens;
  if (!alone || tracked.uncached_tokens < min_timed_tokens) {
    return;
  }
  const double passed = static_cast<double>((now - tracked.sent_at).ms);
  if (passed <= 0) {
    return;
  }
  const double speed = tracked.uncached_tokens / passed;
  prefill_tokens_per_ms_ += prefill_smoothing * (speed - prefill_tokens_per_ms_);
}

void dispatcher::update_reachability(const attempt& tracked, attempt_end end, time_point now) {
  if (end == attempt_end::abandoned) {
    return;
  }
  domain_reachability& domain = domains_[tracked.failure_domain];
  const bool unreachable = end == attempt_end::connect_failed;
  domain.connect_failures.add(unreachable ? 1.0 : 0.0, 1.0, now);
  if (unreachable) {
    domain.last_connect_failure = now;
  }
}

double dispatcher::unreachable_fraction(std::string_view failure_domain, time_point now) const {
  const auto found = domains_.find(failure_domain);
  const bool lately =
      found != domains_.end() && now - found->second.last_connect_failure < domain_retry_delay;
  return lately ? found->second.connect_failures.value() : 0.0;
}

void dispatcher::end_attempt(const attempt& tracked, attempt_end end, time_point now) {
  update_reachability(tracked, end, now);
  server_state* state = state_of(tracked);
  if (state == nullptr) {
    return;
  }
  state->running -= std::min(state->running, 1U);
  state->sensitive -= std::min(state->sensitive, tracked.gap_sensitive ? 1U : 0U);
  if (!tracked.first_event_seen) {
    state->unstarted -= std::min(state->unstarted, 1U);
    state->prefill_tokens -=
        std::min<std::uint64_t>(state->prefill_tokens, tracked.uncached_tokens);
  }
  state->health.record(end, now);
  const bool whole_answer = end == attempt_end::completed || end == attempt_end::server_error;
  if (tracked.prefixes.empty() && whole_answer) {
    state->answer_ms.add(static_cast<double>((now - tracked.sent_at).ms), 1.0, now);
  }
}

bool dispatcher::record_room(const attempt& tracked, std::string_view service,
                             std::optional<std::uint32_t> bearable_rejections,
                             const std::optional<reported_load>& load, time_point now) {
  const bool is_new =
      bearable_rejections && brittle_.record_notice(service, *bearable_rejections, now);
  if (load && brittle_.is_brittle(service, now)) {
    const server_state* state = state_of(tracked);
    const std::uint32_t own = state == nullptr ? 0 : state->running;
    brittle_.record_load({tracked.server, tracked.start_time_ms}, *load, own, now);
  }
  return is_new;
}

void dispatcher::record_rejection(const attempt& tracked, std::string_view service,
                                  time_point now) {
  const server_state* state = state_of(tracked);
  if (state == nullptr || !brittle_.is_brittle(service, now)) {
    return;
  }
  // The rejected request itself was not held.
  const std::uint32_t others = state->all_running() - std::min(state->all_running(), 1U);
  brittle_.record_rejection({tracked.server, tracked.start_time_ms}, {state->running, others}, now);
}

void dispatcher::pause(const attempt& tracked, duration time, time_point now) {
  server_state* state = state_of(tracked);
  if (state != nullptr) {
    state->pause.extend(time, now);
  }
}

bool dispatcher::may_send(attempt& tracked, const servers::server_entry& server, time_point now) {
  if (!accepts_requests(server, now)) {
    return false;
  }
  if (tracked.allowance != permit::taken) {
    tracked.allowance = limits_.take({server.id, server.start_time_ms}, now);
  }
  return tracked.allowance != permit::none;
}

bool dispatcher::accepts_requests(const servers::server_entry& server, time_point now) const {
  const servers::server_entry* listed = list_.find(server.id);
  if (listed == nullptr || listed->leaving || listed->start_time_ms != server.start_time_ms) {
    return false;
  }
  const auto state = states_.find(server.id);
  return state == states_.end() || !state->second.pause.is_active(now);
}

std::optional<duration> dispatcher::shortest_remaining_pause(std::string_view service,
                                                             time_point now) const {
  std::optional<duration> first;
  for (const servers::server_entry* server : list_.serving(service)) {
    const auto state = states_.find(server->id);
    const bool paused = state != states_.end() && state->second.pause.is_active(now);
    const auto remaining = paused ? std::optional(state->second.pause.remaining(now))
                                  : limits_.slot_length({server->id, server->start_time_ms});
    if (remaining) {
      first = first ? std::min(*first, *remaining) : *remaining;
    }
  }
  return first;
}

}  // namespace hawthornnotch::dispatch
