/// \file
/// Command line of policy_lab.
#ifndef HAWTHORNNOTCH_BENCH_POLICY_LAB_LAB_OPTIONS_H_
#define HAWTHORNNOTCH_BENCH_POLICY_LAB_LAB_OPTIONS_H_

#include <optional>
#include <span>

#include "experiment.h"
#include "hawthornnotch/policy/settings.h"

namespace hawthornnotch::lab {

/// What to run.
struct lab_options {
  int seeds = 1;
  /// Tables by class, or only one line for each run.
  bool brief = false;
  /// Leaves the baselines out.
  bool tiers_only = false;
  bool skewed = false;
  double load = 1.0;
  fault_plan faults{true, true, true};
  int routers = 6;
  policy::scheduler_settings settings;
};

/// \param words such as `seeds=3 brief=1 window.most=1.1`.
/// \returns the options; nothing if a word is unknown.
std::optional<lab_options> read_options(std::span<char*> words);

}  // namespace hawthornnotch::lab

#endif  // HAWTHORNNOTCH_BENCH_POLICY_LAB_LAB_OPTIONS_H_
