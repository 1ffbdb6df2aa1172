/// \file
/// When which request is sent: open-loop arrivals drawn from a seed.
#ifndef HAWTHORNNOTCH_LOAD_SCHEDULE_H_
#define HAWTHORNNOTCH_LOAD_SCHEDULE_H_

#include <cstdint>
#include <tuple>
#include <vector>

#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/load/profile.h"

namespace hawthornnotch::load {

/// One request to be sent, whatever becomes of those before it.
struct planned_request {
  /// Since the start of the run.
  duration at;
  /// Index into the profile's kinds.
  std::size_t kind = 0;
  /// Unlike for each request of a run; a repeat has the number of its first.
  std::uint64_t number = 0;
  bool is_repeat = false;
  std::size_t router = 0;
  /// Length of the answer, tokens; 0 for services.
  std::uint32_t tokens = 0;
  bool operator==(const planned_request&) const = default;
  /// Orders by time, then so that equal schedules come out equal.
  bool operator<(const planned_request& other) const {
    return std::tie(at.ms, kind, number, is_repeat) <
           std::tie(other.at.ms, other.kind, other.number, other.is_repeat);
  }
};

struct schedule_settings {
  std::uint64_t seed = 1;
  duration length{30'000};
  /// Requests per second outside the burst, over all classes.
  double base_rate = 10;
  std::size_t routers = 1;
};

/// \returns the requests of a run by time; equal settings give equal schedules.
std::vector<planned_request> make_schedule(const profile& mix, const schedule_settings& settings);

/// What one average request of the mix asks of an engine, during the burst or outside it.
struct mean_demand {
  /// Share of requests that go to engines.
  double engine_share = 0;
  /// Tokens of an average engine request.
  double tokens = 0;
  /// Arrivals relative to the base rate.
  double rate_factor = 1;
};
mean_demand demand_of(const profile& mix, bool in_burst);

/// Speed of one engine.
struct engine_speed {
  std::uint32_t slots = 1;
  double first_token_ms = 0;
  double token_ms = 0;
  /// Share by which each further running stream lengthens a step.
  double slowdown = 0;
};

/// \returns the most tokens per second that the engine can generate for requests of that mean
/// length with all slots busy, prompts not cached.
double capacity_of(const engine_speed& engine, double mean_tokens);

}  // namespace hawthornnotch::load

#endif  // HAWTHORNNOTCH_LOAD_SCHEDULE_H_
