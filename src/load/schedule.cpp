#include "hawthornnotch/load/schedule.h"

#include <algorithm>
#include <cmath>

#include "hawthornnotch/base/hash.h"
#include "hawthornnotch/base/random.h"

namespace hawthornnotch::load {

namespace {

constexpr double ms_per_second = 1000;
// Standard deviation of the logarithm of answer lengths.
constexpr double length_spread = 0.6;
// A caller, or a balancer, repeats this long after the first sending.
constexpr std::uint64_t longest_repeat_delay_ms = 300;

double normal(random_source& random) {
  constexpr double two_pi = 6.283185307179586;
  const double radius = std::sqrt(-2 * std::log(1 - random.unit()));
  return radius * std::cos(two_pi * random.unit());
}

std::uint32_t draw_tokens(const request_kind& kind, random_source& random) {
  if (kind.call == call_kind::service) {
    return 0;
  }
  const double drawn = kind.median_tokens * std::exp(length_spread * normal(random));
  const double bounded = std::clamp(drawn, 1.0, static_cast<double>(kind.longest_tokens));
  return static_cast<std::uint32_t>(bounded);
}

double mean_tokens(const request_kind& kind) {
  constexpr int draws = 20'000;
  constexpr std::uint64_t seed = 1;
  random_source random(seed);
  double sum = 0;
  for (int draw = 0; draw < draws; ++draw) {
    sum += draw_tokens(kind, random);
  }
  return sum / draws;
}

bool in_burst(const profile& mix, double at_ms, duration length) {
  const auto whole = static_cast<double>(length.ms);
  return at_ms >= mix.burst_begin * whole && at_ms < mix.burst_end * whole;
}

// Arrivals at the highest rate; outside the burst each is kept with the ratio of the rates.
void draw_arrivals(const profile& mix, std::size_t index, const schedule_settings& settings,
                   std::vector<planned_request>& into) {
  const request_kind& kind = mix.kinds.at(index);
  random_source random(stable_hash(mix.name + "/" + kind.class_name, settings.seed));
  const double highest_factor = std::max(1.0, kind.burst_factor);
  const double per_ms = settings.base_rate * kind.share * highest_factor / ms_per_second;
  double at_ms = 0;
  while (per_ms > 0) {
    at_ms -= std::log(1 - random.unit()) / per_ms;
    if (at_ms >= static_cast<double>(settings.length.ms)) {
      return;
    }
    const bool burst = in_burst(mix, at_ms, settings.length);
    const double factor = burst ? kind.burst_factor : 1.0;
    const bool kept = random.unit() * highest_factor < factor;
    const std::uint32_t tokens = draw_tokens(kind, random);
    if (kept) {
      planned_request next;
      next.at = {static_cast<std::int64_t>(at_ms)};
      next.kind = index;
      next.tokens = tokens;
      into.push_back(next);
    }
  }
}

std::vector<planned_request> draw_repeats(const profile& mix, const schedule_settings& settings,
                                          const std::vector<planned_request>& firsts) {
  random_source random(stable_hash(mix.name + "/repeats", settings.seed));
  std::vector<planned_request> repeats;
  for (const planned_request& first : firsts) {
    if (random.unit() >= mix.kinds.at(first.kind).repeat_share) {
      continue;
    }
    planned_request repeat = first;
    repeat.is_repeat = true;
    repeat.at.ms += static_cast<std::int64_t>(random.below(longest_repeat_delay_ms));
    repeat.router = (first.router + 1) % settings.routers;
    repeats.push_back(repeat);
  }
  return repeats;
}

}  // namespace

std::vector<planned_request> make_schedule(const profile& mix, const schedule_settings& settings) {
  std::vector<planned_request> all;
  for (std::size_t index = 0; index < mix.kinds.size(); ++index) {
    draw_arrivals(mix, index, settings, all);
  }
  std::sort(all.begin(), all.end());
  for (std::size_t index = 0; index < all.size(); ++index) {
    all[index].number = index;
    all[index].router = index % settings.routers;
  }
  const std::vector<planned_request> repeats = draw_repeats(mix, settings, all);
  all.insert(all.end(), repeats.begin(), repeats.end());
  std::sort(all.begin(), all.end());
  return all;
}

mean_demand demand_of(const profile& mix, bool in_burst) {
  double engine_rate = 0;
  double token_rate = 0;
  double rate = 0;
  for (const request_kind& kind : mix.kinds) {
    const double arrivals = kind.share * (in_burst ? kind.burst_factor : 1.0);
    rate += arrivals;
    if (kind.call != call_kind::service) {
      engine_rate += arrivals;
      token_rate += arrivals * mean_tokens(kind);
    }
  }
  return {engine_rate / rate, token_rate / engine_rate, rate};
}

double capacity_of(const engine_speed& engine, double mean_tokens) {
  const double step_factor = 1 + engine.slowdown * (engine.slots - 1.0);
  const double further_tokens = std::max(0.0, mean_tokens - 1);
  const double busy_ms = step_factor * (engine.first_token_ms + further_tokens * engine.token_ms);
  return busy_ms <= 0 ? 0 : engine.slots * mean_tokens * ms_per_second / busy_ms;
}

}  // namespace hawthornnotch::load
