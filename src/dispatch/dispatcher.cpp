#include "hawthornnotch/dispatch/dispatcher.h"

#include <algorithm>
#include <array>
#include <cmath>

#include "candidate.h"
#include "hawthornnotch/base/hash.h"
#include "stream_reserve.h"

namespace hawthornnotch::dispatch {

namespace {

/// Prompt tokens read in a millisecond, assumed until prompts have been timed.
constexpr double assumed_tokens_per_ms = 40.0;
/// Part of a request's value that is lost when its answer is late.
constexpr double late_loss = 0.75;
/// Part of a request's value that reading 1,000 shared tokens again costs: it takes an engine's
/// time from all requests that run there.
constexpr double reread_loss = 0.08;
/// Fewer unread shared tokens than this are read rather than copied.
constexpr double least_fetched_tokens = 500.0;
/// Estimated part of the caller's limit at which half of the answers are late, and how much more or
/// less makes it nearly sure: estimates miss what other entry VMs have just sent.
constexpr double half_late_part = 0.75;
constexpr double late_spread = 0.1;
/// Part of that loss at each place of the rendezvous order.  What the second server reads serves
/// further requests, since all entry VMs send there what the first can't take in time; read at more
/// servers, the same parts would fill the fleet in a burst.
constexpr std::array<double, 4> reread_part = {1.0, 0.75, 4.0, 4.0};
/// Part of a shared prefix that has to be read where nothing is known: at the first, second and
/// third server of the rendezvous order, which other entry VMs use too, and at all others.
constexpr std::array<double, 4> unknown_part = {0.3, 0.8, 0.9, 1.0};
/// Loss where all slots of a server are taken; grows with the square of the part taken.
constexpr double full_loss = 0.5;
/// Loss where an answer is cut off at the end of its time.
constexpr double unfinished_loss = 1.0;
/// Loss where the answer takes as long as the caller expects, which tells servers apart that would
/// all be in time.
constexpr double slow_loss = 0.1;
/// Loss by an answer from another failure domain.
constexpr double other_domain_loss = 0.005;
/// Loss where a long prompt is read at a server that is kept for pause-sensitive streams: it delays
/// all of them.
constexpr double disturbance_loss = 0.3;
/// Loss where a pause-sensitive stream runs beside long prompts, besides what the server's pauses
/// tell: they are known with a delay.
constexpr double unkept_loss = 0.3;
/// A prompt of this many unread tokens delays streams by a whole pause; a shorter one by its part.
constexpr double disturbing_tokens = 2'000.0;
/// A server is slow where the time between its events is this many times the fleet's.
constexpr double slow_factor = 1.4;
/// A failure domain is left when more than this part of the latest connections to it failed.
constexpr double most_unreachable = 0.5;
/// Random part of a loss, so that entry VMs with equal knowledge spread.
constexpr double spread_loss = 0.005;
/// Time of an answer of a service that is no engine, assumed until one was timed, in ms.
constexpr double assumed_answer_ms = 20.0;

static_assert(unknown_part.size() == internal::last_rank + 1);
static_assert(reread_part.size() == unknown_part.size());

// \returns the probability that something that is estimated at `part` of its limit exceeds it.
double exceeds(double part) {
  return 1.0 / (1.0 + std::exp((half_late_part - part) / late_spread));
}

double part_of(double ms, duration limit) {
  return limit.ms > 0 ? ms / static_cast<double>(limit.ms) : 0.0;
}

std::optional<endpoint> first_besides(const endpoint& target, std::span<const endpoint> holders) {
  const auto found = std::find_if(holders.begin(), holders.end(),
                                  [&](const endpoint& each) { return each != target; });
  return found == holders.end() ? std::nullopt : std::optional(*found);
}

// What a request loses, or makes the streams there lose, at a server that is not kept for its kind.
double loss_by_pauses(bool reserved_for_streams, bool gap_sensitive, double unread_tokens) {
  if (reserved_for_streams == gap_sensitive) {
    return 0;
  }
  const double disturbance = disturbance_loss * std::min(1.0, unread_tokens / disturbing_tokens);
  return gap_sensitive ? unkept_loss : disturbance;
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
      tokens_per_ms_(assumed_tokens_per_ms) {}

server_state& dispatcher::state_of(const servers::server_entry& server) {
  const auto [found, is_new] = states_.try_emplace(server.id);
  server_state& state = found->second;
  if (is_new || state.start_time_ms != server.start_time_ms) {
    state = server_state{};
    state.start_time_ms = server.start_time_ms;
    state.stream_order = stable_hash(server.id);
  }
  return state;
}

server_state* dispatcher::state_of(const attempt& what) {
  const auto found = states_.find(what.server);
  const bool same_start =
      found != states_.end() && found->second.start_time_ms == what.start_time_ms;
  return same_start ? &found->second : nullptr;
}

double dispatcher::usual_gap_of_fleet(time_point now) const {
  std::vector<double> gaps;
  gaps.reserve(states_.size());
  for (const auto& [id, state] : states_) {
    const double usual = state.pace.usual_ms(now);
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

double dispatcher::token_ms(const server_state& state, double fleet_gap, time_point now) const {
  constexpr double fastest = 0.25;
  const double gap = state.pace.usual_ms(now);
  const bool known = gap > 0 && fleet_gap > 0;
  const double slowness = known ? std::max(gap / fleet_gap, fastest) : 1.0;
  return slowness / tokens_per_ms_;
}

std::vector<internal::candidate> dispatcher::candidates_for(const placement_query& query) {
  std::vector<internal::candidate> out;
  for (const servers::server_entry* server : list_.serving(query.service)) {
    const server_state& state = state_of(*server);
    if (!state.pause.lasts(query.now)) {
      out.push_back({server, &state, avoided(*server, state, query.now)});
    }
  }
  return out;
}

result<placement, placement_failure> dispatcher::choose(const placement_query& query) {
  std::vector<internal::candidate> candidates = candidates_for(query);
  if (candidates.empty()) {
    const bool paused = !list_.serving(query.service).empty();
    return failed{paused ? placement_failure::all_paused : placement_failure::no_server};
  }
  const bool is_engine = !query.prefixes.empty();
  double fleet_gap = 0;
  std::vector<endpoint> sources;
  if (is_engine) {
    fleet_gap = usual_gap_of_fleet(query.now);
    rank_engines(query, fleet_gap, candidates);
    sources = internal::holders(candidates);
  }
  placement best;
  const internal::candidate* chosen = nullptr;
  for (const internal::candidate& each : candidates) {
    const auto& tried = query.tried;
    if (std::find(tried.begin(), tried.end(), each.server->id) != tried.end()) {
      continue;
    }
    placement next;
    next.rank = each.rank;
    next.gap_sensitive = query.gap_sensitive;
    next.reserved_for_streams = each.reserved_for_streams;
    if (is_engine) {
      next.fetch_from = first_besides(each.server->address, sources);
      weigh_engine(query, each, fleet_gap, next);
    } else {
      weigh_service(query, each, next);
    }
    next.loss += random_.unit() * spread_loss;
    const bool better = chosen == nullptr || (chosen->avoided && !each.avoided) ||
                        (chosen->avoided == each.avoided && next.loss < best.loss);
    if (better) {
      best = std::move(next);
      chosen = &each;
    }
  }
  if (chosen == nullptr) {
    return failed{placement_failure::none_left};
  }
  best.server = *chosen->server;
  best.candidates = static_cast<std::uint32_t>(candidates.size());
  return best;
}

void dispatcher::rank_engines(const placement_query& query, double fleet_gap,
                              std::span<internal::candidate> candidates) {
  std::uint64_t streams = 0;
  std::uint64_t waiting = 0;
  for (internal::candidate& each : candidates) {
    each.slow = each.state->pace.usual_ms(query.now) > slow_factor * fleet_gap;
    streams += each.state->sensitive + each.state->peer_sensitive;
    waiting += each.state->all_prefill_tokens();
  }
  const double mean_waiting = static_cast<double>(waiting) / static_cast<double>(candidates.size());
  auto found = loads_.find(query.service);
  if (found == loads_.end()) {
    found = loads_.try_emplace(std::string(query.service)).first;
  }
  service_load& load = found->second;
  load.streams.add(static_cast<double>(streams), 1.0, query.now);
  load.waiting_tokens.add(mean_waiting, 1.0, query.now);
  const double waiting_ms = load.waiting_tokens.value() / tokens_per_ms_;
  const std::size_t kept =
      internal::keep_for_streams(candidates, {load.streams.value(), waiting_ms});
  internal::rank_by_rendezvous(candidates, shared_prefix(query.prefixes).hash,
                               query.gap_sensitive && kept > 0);
}

bool dispatcher::avoided(const servers::server_entry& server, const server_state& state,
                         time_point now) const {
  return state.health.avoided(now) ||
         unreachable_share(server.failure_domain, now) > most_unreachable;
}

// What any request may lose at a server: by its failures and by its distance.
double dispatcher::loss_by_failure(const servers::server_entry& server, const server_state& state,
                                   time_point now) const {
  const double distance = server.failure_domain == failure_domain_ ? 0.0 : other_domain_loss;
  return state.health.failure_share() + distance + unreachable_share(server.failure_domain, now);
}

double dispatcher::unfinished_share(const placement_query& query, const server_state& state,
                                    double first_event_ms) const {
  const double gap = state.pace.mean_ms(query.now);
  if (gap <= 0 || query.expected_events <= 0) {
    return 0;
  }
  return exceeds(part_of(first_event_ms + query.expected_events * gap, query.time_left));
}

void dispatcher::weigh_engine(const placement_query& query, const internal::candidate& at,
                              double fleet_gap, placement& out) const {
  const servers::server_entry& server = *at.server;
  const server_state& state = *at.state;
  const std::uint32_t whole = query.prefixes.back().tokens;
  const std::uint32_t shared = shared_prefix(query.prefixes).tokens;
  const std::uint32_t held = state.cache.held_tokens(query.prefixes);
  const double shared_unread = shared > held ? (shared - held) * unknown_part.at(out.rank) : 0.0;
  const double own_unread = static_cast<double>(whole - std::max(shared, held));
  const double per_token = token_ms(state, fleet_gap, query.now);
  const double waiting = static_cast<double>(state.all_prefill_tokens()) * per_token;
  const double taken = static_cast<double>(state.all_running()) / std::max(1U, server.slots);

  if (shared_unread < least_fetched_tokens) {
    out.fetch_from.reset();
  }
  out.running = state.all_running();
  out.uncached_tokens = static_cast<std::uint32_t>(shared_unread + own_unread);
  out.expected_ms = waiting + out.uncached_tokens * per_token;
  const double slowness = part_of(out.expected_ms, query.target_latency);
  const double pause = part_of(state.pace.long_ms(query.now), query.target_gap);
  const double in_time = (1.0 - exceeds(slowness)) * (1.0 - exceeds(pause));
  constexpr double tokens_per_unit = 1'000.0;

  out.loss = late_loss * (1.0 - in_time) + slow_loss * slowness;
  out.loss += unfinished_loss * unfinished_share(query, state, out.expected_ms);
  out.loss += reread_loss * reread_part.at(out.rank) * shared_unread / tokens_per_unit;
  out.loss += full_loss * taken * taken;
  out.loss += loss_by_failure(server, state, query.now);
  out.loss += loss_by_pauses(at.reserved_for_streams, query.gap_sensitive, out.uncached_tokens);
}

void dispatcher::weigh_service(const placement_query& query, const internal::candidate& at,
                               placement& out) const {
  const servers::server_entry& server = *at.server;
  const server_state& state = *at.state;
  const double answer = state.answer_ms.value() > 0 ? state.answer_ms.value() : assumed_answer_ms;
  const double taken = static_cast<double>(state.all_running()) / std::max(1U, server.slots);
  out.running = state.all_running();
  out.expected_ms = answer * (1.0 + taken);
  const double slowness = part_of(out.expected_ms, query.target_latency);
  out.loss = late_loss * exceeds(slowness) + slow_loss * slowness;
  out.loss += full_loss * taken * taken;
  out.loss += loss_by_failure(server, state, query.now);
}

// An entry may lapse and come back while the server lives: what it asked for still holds.
void dispatcher::drop_removed_servers(time_point now) {
  for (auto each = states_.begin(); each != states_.end();) {
    const server_state& state = each->second;
    const bool gone = list_.find(each->first) == nullptr && state.running == 0;
    each = gone && !state.pause.lasts(now) ? states_.erase(each) : std::next(each);
  }
}

std::vector<server_summary> dispatcher::summary(time_point now) const {
  std::vector<server_summary> out;
  for (const auto& [id, state] : states_) {
    out.push_back({id, state.all_running(), state.all_prefill_tokens(), state.pace.usual_ms(now),
                   state.health.failure_share(),
                   std::max(state.pause.remaining(now), duration{0})});
  }
  return out;
}

}  // namespace hawthornnotch::dispatch
