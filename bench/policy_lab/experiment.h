/// \file
/// One run: several routers' schedulers over fake engines on a stepped clock.
#ifndef HAWTHORNNOTCH_BENCH_POLICY_LAB_EXPERIMENT_H_
#define HAWTHORNNOTCH_BENCH_POLICY_LAB_EXPERIMENT_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "hawthornnotch/policy/settings.h"
#include "load_shape.h"

namespace hawthornnotch::lab {

/// Faults in the burst.
struct fault_plan {
  /// A middle engine slows fivefold.
  bool slow = false;
  /// A fast engine crashes mid-stream and recovers.
  bool crash = false;
  /// Load reports lag by 4 s.
  bool lag = false;
  [[nodiscard]] bool any() const { return slow || crash || lag; }
};

/// What happens in a run.
struct experiment_plan {
  load_shape shape;
  policy::scheduler_settings settings;
  std::uint64_t seed = 1;
  int routers = 6;
  int engines = 20;
  fault_plan faults;
  /// All of tier 0 arrives at one router and all other traffic at the rest.
  bool skewed = false;
  /// Factor on all offered work.
  double load = 1.0;
};

/// What callers of one class got.
struct class_result {
  std::string name;
  int tier = 0;
  std::uint64_t sent = 0;
  std::uint64_t in_target = 0;
  std::uint64_t late = 0;
  std::uint64_t shed = 0;
  std::uint64_t gone = 0;
  std::uint64_t failed = 0;
  /// Longest time to the first token of an answered request, milliseconds.
  std::int64_t longest_wait_ms = 0;
  /// Why requests were late: first token, between tokens, completion.
  std::uint64_t late_first = 0;
  std::uint64_t late_between = 0;
};

/// Totals of a run.
struct experiment_result {
  std::vector<class_result> classes;
  double useful_tokens_per_s = 0;
  /// Work done in the burst for answers that were completed, over the engines' capacity in it.
  double goodput_part = 0;
  /// The same, only for answers that met their targets.
  double goodput_in_target_part = 0;
  /// Answers completed in the burst.
  double answers_per_s = 0;
  double answers_in_target_per_s = 0;
  /// Slot time spent on what no caller used, over all slot time.
  double wasted_part = 0;
  /// Slots taken in the burst over all slots of engines that are up.
  double busy_part = 0;
  /// Requests waiting at engines in the burst, mean for each engine.
  double waiting_at_engines = 0;
  /// Of late tier 0 requests: sums of the waits at the router and at the engine, and their number.
  double late_router_ms = 0;
  double late_engine_ms = 0;
  double late_top = 0;
  /// Tier 0 requests sent and in target, by 10 s of arrival.
  std::vector<std::uint64_t> top_sent;
  std::vector<std::uint64_t> top_in_target;
  std::uint64_t preempted = 0;
  std::uint64_t retried = 0;
};

experiment_result run_experiment(const experiment_plan& plan);

}  // namespace hawthornnotch::lab

#endif  // HAWTHORNNOTCH_BENCH_POLICY_LAB_EXPERIMENT_H_
