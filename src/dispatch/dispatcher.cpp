#include "hawthornnotch/dispatch/dispatcher.h"

#include <algorithm>
#include <array>
#include <cmath>

#include "candidate.h"
#include "hawthornnotch/base/hash.h"
#include "selection.h"
#include "stream_reserve.h"

namespace hawthornnotch::dispatch {

namespace {

/// Prefill speed assumed until prompts have been timed.
constexpr double default_prefill_tokens_per_ms = 40.0;
/// Loss if the answer is late.  All losses are fractions of a request's value.
constexpr double late_loss = 0.75;
/// Loss per 1,000 shared tokens that are prefilled again, which delays all requests on the engine.
constexpr double reprefill_loss = 0.08;
/// Fewer uncached shared tokens than this are prefilled rather than fetched from another server.
constexpr double min_fetched_tokens = 500.0;
/// Midpoint and width of the logistic function that maps an estimate, as a fraction of its limit,
/// to the probability of exceeding the limit.  The midpoint is below 1 because estimates miss what
/// other entry VMs have just sent.
constexpr double half_late_fraction = 0.75;
constexpr double late_spread = 0.1;
/// Factor of `reprefill_loss` by rendezvous rank.  Prefill at the second server is discounted
/// because it serves further requests: all entry VMs send there what the first cannot take in time.
/// Beyond that it is penalized, since in a burst the same parts would fill the whole fleet.
constexpr std::array<double, 4> reprefill_rank_factor = {1.0, 0.75, 4.0, 4.0};
/// Fraction of a shared prefix assumed to be uncached where nothing is known, by rendezvous rank;
/// other entry VMs use the first servers too.
constexpr std::array<double, 4> assumed_uncached_fraction = {0.3, 0.8, 0.9, 1.0};
/// Loss if all slots of a server are taken; scales with the square of the utilization.
constexpr double saturation_loss = 0.5;
/// Loss if the request's deadline cuts the answer off.
constexpr double timeout_loss = 1.0;
/// Loss if the answer takes exactly its target latency; scales linearly and so orders servers that
/// would all be in time.
constexpr double latency_loss = 0.1;
/// Loss of choosing a server in another failure domain.
constexpr double other_domain_loss = 0.005;
/// Loss of a long prompt on a server reserved for gap-sensitive streams, all of which it delays.
constexpr double interference_loss = 0.3;
/// Loss of a gap-sensitive stream on a server that is not reserved, in addition to the loss by the
/// server's observed gaps, which are known with a delay.
constexpr double unreserved_loss = 0.3;
/// Uncached tokens from which a prompt incurs the full `interference_loss`; shorter ones incur it
/// in proportion.
constexpr double interfering_tokens = 2'000.0;
/// Uncached tokens from which a prompt takes engine steps of its own.  Where servers share their
/// machines, such a prompt is kept off the servers reserved for streams.
constexpr std::uint32_t long_prompt_tokens = 1'000;
/// Loss of a long prompt for each request that waits at a server by its own report, and the most:
/// the wait has no bound that the VMs could know, as each adds to it without knowing of the others.
constexpr double waiting_loss = 0.15;
constexpr double max_waiting_loss = 0.45;
/// A server counts as slow above this multiple of the fleet's median gap.
constexpr double slow_factor = 1.4;
/// A failure domain is avoided while more than this fraction of recent connections to it failed.
constexpr double max_unreachable_fraction = 0.5;
/// Maximum random loss, so that entry VMs with equal knowledge spread their requests.
constexpr double tie_break_loss = 0.005;
/// Answer time assumed for a service that is not an engine until one has been timed.
constexpr double default_answer_ms = 20.0;

static_assert(assumed_uncached_fraction.size() == internal::max_rank + 1);
static_assert(reprefill_rank_factor.size() == assumed_uncached_fraction.size());

// \returns the probability that a quantity estimated at `fraction` of its limit exceeds the limit.
double exceed_probability(double fraction) {
  return 1.0 / (1.0 + std::exp((half_late_fraction - fraction) / late_spread));
}

double fraction_of(double ms, duration limit) {
  return limit.ms > 0 ? ms / static_cast<double>(limit.ms) : 0.0;
}

std::optional<endpoint> first_other(const endpoint& target,
                                    std::span<const endpoint> likely_holders) {
  const auto found = std::find_if(likely_holders.begin(), likely_holders.end(),
                                  [&](const endpoint& each) { return each != target; });
  return found == likely_holders.end() ? std::nullopt : std::optional(*found);
}

// \returns the loss of the request, or of the streams it delays, on a server of the other kind.
double interference_loss_at(bool reserved_for_streams, bool gap_sensitive, double uncached) {
  if (reserved_for_streams == gap_sensitive) {
    return 0;
  }
  const double interference = interference_loss * std::min(1.0, uncached / interfering_tokens);
  return gap_sensitive ? unreserved_loss : interference;
}

bool was_tried(const placement_query& query, const internal::candidate& at) {
  const auto& tried = query.tried;
  return std::find(tried.begin(), tried.end(), at.server->id) != tried.end();
}

// \returns whether a reserved server that the query may use is not slow at the moment.
bool has_fast_reserved(const placement_query& query,
                       std::span<const internal::candidate> candidates) {
  return std::any_of(candidates.begin(), candidates.end(), [&](const internal::candidate& each) {
    const bool version =
        !query.software_version || each.server->software_version == *query.software_version;
    return each.reserved_for_streams && version && !each.state->speed.is_slow(query.now) &&
           !was_tried(query, each);
  });
}

bool is_long_prompt(const placement_query& query, const placement& there) {
  return !query.gap_sensitive && there.uncached_tokens >= long_prompt_tokens;
}

// The shared prefix is the one before the whole prompt.
prompt_prefix shared_prefix(std::span<const prompt_prefix> prefixes) {
  return prefixes.size() < 2 ? prompt_prefix{} : prefixes[prefixes.size() - 2];
}

}  // namespace

dispatcher::dispatcher(const servers::server_list& list, std::string failure_domain,
                       std::uint64_t seed)
    : list_(list),
      failure_domain_(std::move(failure_domain)),
      random_(seed),
      prefill_tokens_per_ms_(default_prefill_tokens_per_ms) {}

server_state& dispatcher::state_of(const servers::server_entry& server) {
  const auto [found, is_new] = states_.try_emplace(server.id);
  server_state& state = found->second;
  if (is_new || state.start_time_ms != server.start_time_ms) {
    state = server_state{};
    state.start_time_ms = server.start_time_ms;
    state.reserve_order = stable_hash(server.id);
  }
  return state;
}

server_state* dispatcher::state_of(const attempt& tracked) {
  const auto found = states_.find(tracked.server);
  const bool same_incarnation =
      found != states_.end() && found->second.start_time_ms == tracked.start_time_ms;
  return same_incarnation ? &found->second : nullptr;
}

double dispatcher::median_fleet_gap(time_point now) const {
  std::vector<double> gaps;
  gaps.reserve(states_.size());
  for (const auto& [id, state] : states_) {
    const double usual = state.pace.usual_gap_ms(now);
    if (usual > 0) {
      gaps.push_back(usual);
    }
  }
  if (gaps.empty()) {
    return 0;
  }
  const auto middle = gaps.begin() + static_cast<std::ptrdiff_t>(gaps.size() / 2);
  std::nth_element(gaps.begin(), middle, gaps.end());
  return *middle;
}

double dispatcher::learned_slowness(const server_state& state, double fleet_gap, time_point now) {
  constexpr double min_slowness = 0.25;
  const double gap = state.pace.usual_gap_ms(now);
  const bool known = gap > 0 && fleet_gap > 0;
  return known ? std::max(gap / fleet_gap, min_slowness) : 1.0;
}

service_size dispatcher::size_of(std::span<const servers::server_entry* const> serving) {
  brittle_.set_members(limits_.members());
  service_size size;
  for (const servers::server_entry* server : serving) {
    size.own_in_flight += state_of(*server).running;
    size.own_places += brittle_.share_of(server->slots, {server->id, server->start_time_ms});
  }
  return size;
}

std::vector<internal::candidate> dispatcher::candidates_for(const placement_query& query,
                                                            std::uint32_t& at_limit) {
  std::vector<internal::candidate> out;
  const auto& serving = list_.serving(query.service);
  const bool brittle = brittle_.is_brittle(query.service, query.now);
  const service_size size = brittle ? size_of(serving) : service_size{};
  for (const servers::server_entry* server : serving) {
    const server_state& state = state_of(*server);
    if (state.pause.is_active(query.now)) {
      continue;
    }
    const server_incarnation incarnation{server->id, server->start_time_ms};
    const room_query room{incarnation, server->slots, {state.running, state.all_running()}};
    const bool has_place = !brittle || brittle_.has_place(room, size, query.now);
    if (!has_place || !limits_.has_permit(incarnation, query.now)) {
      ++at_limit;
      continue;
    }
    out.push_back({server, &state, avoided(*server, state, query.now)});
  }
  return out;
}

result<placement, placement_failure> dispatcher::choose(const placement_query& query) {
  std::uint32_t at_limit = 0;
  std::vector<internal::candidate> candidates = candidates_for(query, at_limit);
  if (candidates.empty()) {
    const bool paused = !list_.serving(query.service).empty();
    return failed{paused ? placement_failure::all_paused : placement_failure::no_server};
  }
  comparison among;
  if (!query.prefixes.empty()) {
    among = rank_engines(query, candidates);
  }
  internal::selection offered;
  bool has_version = false;
  for (const internal::candidate& each : candidates) {
    if (query.software_version && each.server->software_version != *query.software_version) {
      continue;
    }
    has_version = true;
    if (was_tried(query, each)) {
      continue;
    }
    placement next = score(query, each, among);
    next.loss += random_.unit() * tie_break_loss;
    next.avoided = each.avoided;
    const internal::suitability how = suitability_of(query, each, among, next);
    offered.offer(each, std::move(next), how);
  }
  auto best = offered.take_best(query.time_left);
  if (!best) {
    return failed{has_version ? placement_failure::all_tried
                              : placement_failure::no_server_of_version};
  }
  best->candidates = static_cast<std::uint32_t>(candidates.size());
  best->at_limit = at_limit;
  return std::move(*best);
}

placement dispatcher::score(const placement_query& query, const internal::candidate& at,
                            const comparison& among) const {
  placement out;
  out.rank = at.rank;
  out.gap_sensitive = query.gap_sensitive;
  out.reserved_for_streams = at.reserved_for_streams;
  if (query.prefixes.empty()) {
    score_service(query, at, out);
  } else {
    out.fetch_from = first_other(at.server->address, among.sources);
    score_engine(query, at, among, out);
  }
  return out;
}

internal::suitability dispatcher::suitability_of(const placement_query& query,
                                                 const internal::candidate& at,
                                                 const comparison& among, const placement& there) {
  if (at.avoided) {
    return internal::suitability::avoided;
  }
  const bool for_streams = at.reserved_for_streams || at.beside_reserve;
  const bool slow_for_stream = query.gap_sensitive && at.reserved_for_streams &&
                               among.has_fast_reserved && at.state->speed.is_slow(query.now);
  const bool kept_off = slow_for_stream || (is_long_prompt(query, there) && for_streams);
  return among.shared && kept_off ? internal::suitability::last_resort
                                  : internal::suitability::preferred;
}

dispatcher::comparison dispatcher::rank_engines(const placement_query& query,
                                                std::span<internal::candidate> candidates) {
  comparison out;
  out.fleet_gap = median_fleet_gap(query.now);
  std::uint64_t streams = 0;
  std::uint64_t waiting = 0;
  for (internal::candidate& each : candidates) {
    each.slow = each.state->pace.usual_gap_ms(query.now) > slow_factor * out.fleet_gap;
    streams += each.state->sensitive + each.state->peer_sensitive;
    waiting += each.state->all_prefill_tokens();
  }
  const double mean_waiting = static_cast<double>(waiting) / static_cast<double>(candidates.size());
  service_load& load = load_of(query.service);
  load.streams.add(static_cast<double>(streams), 1.0, query.now);
  load.waiting_tokens.add(mean_waiting, 1.0, query.now);
  load.shared.record_streams(static_cast<double>(streams), query.now);
  if (query.gap_sensitive) {
    load.shared.record_stream_arrival(query.now);
  }
  out.shared = load.shared.is_shared(query.now);
  const double waiting_ms = load.waiting_tokens.value() / prefill_tokens_per_ms_;
  const std::size_t reserved =
      out.shared
          ? internal::reserve_beside_prompts(candidates, {load.shared.planned_streams(query.now),
                                                          load.shared.has_streams(query.now)})
          : internal::reserve_for_streams(candidates, {load.streams.value(), waiting_ms});
  internal::rank_by_rendezvous(candidates, shared_prefix(query.prefixes).hash,
                               query.gap_sensitive && reserved > 0);
  out.sources = internal::likely_holders(candidates);
  out.has_fast_reserved = query.gap_sensitive && has_fast_reserved(query, candidates);
  out.prompt_tokens = load.prompt_tokens.value();
  return out;
}

bool dispatcher::avoided(const servers::server_entry& server, const server_state& state,
                         time_point now) const {
  return state.health.avoided(now) ||
         unreachable_fraction(server.failure_domain, now) > max_unreachable_fraction;
}

// \returns the loss by failures of the server, its distance and the reachability of its domain.
double dispatcher::failure_loss(const servers::server_entry& server, const server_state& state,
                                time_point now) const {
  const double distance = server.failure_domain == failure_domain_ ? 0.0 : other_domain_loss;
  return state.health.failure_share() + distance + unreachable_fraction(server.failure_domain, now);
}

double dispatcher::timeout_probability(const placement_query& query, double gap_ms,
                                       double first_event_ms) {
  if (gap_ms <= 0 || query.expected_events <= 0) {
    return 0;
  }
  return exceed_probability(
      fraction_of(first_event_ms + query.expected_events * gap_ms, query.time_left));
}

void dispatcher::score_engine(const placement_query& query, const internal::candidate& at,
                              const comparison& among, placement& out) const {
  const servers::server_entry& server = *at.server;
  const server_state& state = *at.state;
  const std::uint32_t whole = query.prefixes.back().tokens;
  const std::uint32_t shared = shared_prefix(query.prefixes).tokens;
  const std::uint32_t cached = state.cache.cached_tokens(query.prefixes);
  const double shared_uncached =
      shared > cached ? (shared - cached) * assumed_uncached_fraction.at(out.rank) : 0.0;
  const double own_uncached = static_cast<double>(whole - std::max(shared, cached));
  const double learned = learned_slowness(state, among.fleet_gap, query.now);
  const double correction = state.speed.correction(learned, query.now);
  const double per_token = learned / prefill_tokens_per_ms_ * correction;
  const double waiting = state.known_prefill_tokens(among.prompt_tokens, query.now) * per_token;
  out.running = state.known_running(query.now);
  const double utilization = static_cast<double>(out.running) / std::max(1U, server.slots);

  if (shared_uncached < min_fetched_tokens) {
    out.fetch_from.reset();
  }
  out.uncached_tokens = static_cast<std::uint32_t>(shared_uncached + own_uncached);
  out.expected_ms = waiting + out.uncached_tokens * per_token;
  const double slowness = fraction_of(out.expected_ms, query.target_latency);
  const double gap_ratio =
      fraction_of(state.pace.long_gap_ms(query.now) * correction, query.target_gap);
  const double in_time =
      (1.0 - exceed_probability(slowness)) * (1.0 - exceed_probability(gap_ratio));
  constexpr double tokens_per_unit = 1'000.0;

  out.loss = late_loss * (1.0 - in_time) + latency_loss * slowness;
  out.loss +=
      timeout_loss *
      timeout_probability(query, state.pace.mean_gap_ms(query.now) * correction, out.expected_ms);
  out.loss +=
      reprefill_loss * reprefill_rank_factor.at(out.rank) * shared_uncached / tokens_per_unit;
  out.loss += saturation_loss * utilization * utilization;
  out.loss += failure_loss(server, state, query.now);
  out.loss +=
      interference_loss_at(at.reserved_for_streams, query.gap_sensitive, out.uncached_tokens);
  if (state.report.is_fresh(query.now) && is_long_prompt(query, out)) {
    out.loss += std::min(waiting_loss * state.report.waiting(), max_waiting_loss);
  }
}

void dispatcher::score_service(const placement_query& query, const internal::candidate& at,
                               placement& out) const {
  const servers::server_entry& server = *at.server;
  const server_state& state = *at.state;
  const double answer = state.answer_ms.value() > 0 ? state.answer_ms.value() : default_answer_ms;
  const double utilization = static_cast<double>(state.all_running()) / std::max(1U, server.slots);
  out.running = state.all_running();
  out.expected_ms = answer * (1.0 + utilization);
  const double slowness = fraction_of(out.expected_ms, query.target_latency);
  out.loss = late_loss * exceed_probability(slowness) + latency_loss * slowness;
  out.loss += saturation_loss * utilization * utilization;
  out.loss += failure_loss(server, state, query.now);
}

// An entry may expire and reappear while the server lives; a pause that it asked for still applies.
void dispatcher::drop_removed_servers(time_point now) {
  for (auto each = states_.begin(); each != states_.end();) {
    const server_state& state = each->second;
    const bool unlisted = list_.find(each->first) == nullptr && state.running == 0;
    each = unlisted && !state.pause.is_active(now) ? states_.erase(each) : std::next(each);
  }
  limits_.drop_expired([this](std::string_view id) { return list_.find(id) != nullptr; }, now);
}

std::vector<server_summary> dispatcher::summary(time_point now) const {
  std::vector<server_summary> out;
  for (const auto& [id, state] : states_) {
    out.push_back({id, state.all_running(), state.all_prefill_tokens(),
                   state.pace.usual_gap_ms(now), state.health.failure_share(),
                   std::max(state.pause.remaining(now), duration{0})});
  }
  return out;
}

}  // namespace hawthornnotch::dispatch
