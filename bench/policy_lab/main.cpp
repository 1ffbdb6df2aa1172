// Usage: policy_lab [seeds=3] [brief=1] [tiers_only=1] [skewed=1] [window.most=1.1 ...]
// Runs the policies on a stepped clock at twice the capacity and prints a table by class.
#include <algorithm>
#include <cstdio>
#include <span>
#include <string>
#include <vector>

#include "experiment.h"
#include "lab_options.h"

namespace {

using hawthornnotch::lab::class_result;
using hawthornnotch::lab::experiment_plan;
using hawthornnotch::lab::experiment_result;
using hawthornnotch::lab::lab_options;

struct named_policy {
  const char* name;
  hawthornnotch::policy::policy_kind kind;
};

double percent(std::uint64_t part, std::uint64_t whole) {
  constexpr double hundred = 100.0;
  return whole == 0 ? hundred : hundred * static_cast<double>(part) / static_cast<double>(whole);
}

void print_class(const class_result& each) {
  std::printf(
      "  %-16s t%d sent %6llu  in target %5.1f%%  late %5.1f%%  shed %5.1f%%  gone %5.1f%%"
      "  failed %4.1f%%  longest wait %6.1f s  late first/between %llu/%llu\n",
      each.name.c_str(), each.tier, static_cast<unsigned long long>(each.sent),
      percent(each.in_target, each.sent), percent(each.late, each.sent),
      percent(each.shed, each.sent), percent(each.gone, each.sent), percent(each.failed, each.sent),
      static_cast<double>(each.longest_wait_ms) / 1000.0,
      static_cast<unsigned long long>(each.late_first),
      static_cast<unsigned long long>(each.late_between));
}

double top_percent(const experiment_result& result) {
  std::uint64_t sent = 0;
  std::uint64_t in_target = 0;
  for (const class_result& each : result.classes) {
    sent += each.tier == 0 ? each.sent : 0;
    in_target += each.tier == 0 ? each.in_target : 0;
  }
  return percent(in_target, sent);
}

/// Sums over seeds.
struct summary {
  double top = 0;
  double least_top = 100;
  double goodput = 0;
  double in_target = 0;
  double answers = 0;
  double answers_in_target = 0;
  double wasted = 0;
  double preempted = 0;
  void add(const experiment_result& result) {
    const double percent_in_target = top_percent(result);
    top += percent_in_target;
    least_top = std::min(least_top, percent_in_target);
    goodput += 100.0 * result.goodput_part;
    in_target += 100.0 * result.goodput_in_target_part;
    answers += result.answers_per_s;
    answers_in_target += result.answers_in_target_per_s;
    wasted += 100.0 * result.wasted_part;
    preempted += static_cast<double>(result.preempted);
  }
};

void print_run(const experiment_plan& plan, const char* policy, const experiment_result& result) {
  std::printf(
      "%s %s%s seed %llu %s: tier 0 in target %.1f%%  goodput/capacity %.1f%%  wasted %.2f%%"
      "  preempted %llu  retried %llu\n",
      plan.shape.name.c_str(), plan.faults.any() ? "faults" : "no faults",
      plan.skewed ? " skewed" : "", static_cast<unsigned long long>(plan.seed), policy,
      top_percent(result), 100.0 * result.goodput_part, 100.0 * result.wasted_part,
      static_cast<unsigned long long>(result.preempted),
      static_cast<unsigned long long>(result.retried));
  std::printf("  slots taken %.1f%%  waiting at an engine %.2f  tier 0 by 10 s of arrival:",
              100.0 * result.busy_part, result.waiting_at_engines);
  for (std::size_t part = 0; part < result.top_sent.size(); ++part) {
    std::printf(" %.0f", percent(result.top_in_target[part], result.top_sent[part]));
  }
  const double late = std::max(1.0, result.late_top);
  std::printf("\n  late tier 0: mean wait at the router %.0f ms, at the engine %.0f ms\n",
              result.late_router_ms / late, result.late_engine_ms / late);
  for (const class_result& each : result.classes) {
    print_class(each);
  }
}

void run_seeds(const lab_options& options, const hawthornnotch::lab::load_shape& shape, bool faults,
               const named_policy& policy) {
  summary sum;
  for (int seed = 1; seed <= options.seeds; ++seed) {
    experiment_plan plan;
    plan.shape = shape;
    plan.seed = static_cast<std::uint64_t>(seed);
    plan.faults = faults ? options.faults : hawthornnotch::lab::fault_plan{};
    plan.skewed = options.skewed;
    plan.load = options.load;
    plan.routers = options.routers;
    plan.settings = options.settings;
    plan.settings.policy = policy.kind;
    const experiment_result result = run_experiment(plan);
    sum.add(result);
    if (!options.brief) {
      print_run(plan, policy.name, result);
    }
  }
  const double runs = options.seeds;
  std::printf(
      "mean of %d: %-10s %-9s %-17s tier 0 in target %5.1f%% (least %5.1f%%)  "
      "goodput %5.1f%% (in target %5.1f%%)  answers/s %5.1f (in target %5.1f)  "
      "wasted %4.2f%%  preempted %.0f\n",
      options.seeds, shape.name.c_str(), faults ? "faults" : "no faults", policy.name,
      sum.top / runs, sum.least_top, sum.goodput / runs, sum.in_target / runs, sum.answers / runs,
      sum.answers_in_target / runs, sum.wasted / runs, sum.preempted / runs);
}

}  // namespace

int main(int argc, char** argv) {
  const std::span<char*> words(argv, static_cast<std::size_t>(argc));
  const auto options = hawthornnotch::lab::read_options(words.subspan(1));
  if (!options) {
    std::fputs("unknown option; see lab_options.cpp\n", stderr);
    return 2;
  }
  std::vector<named_policy> policies = {{"tiers", hawthornnotch::policy::tiered{}}};
  if (!options->tiers_only) {
    policies.push_back({"round_robin", hawthornnotch::policy::round_robin{}});
    policies.push_back({"least_outstanding", hawthornnotch::policy::least_outstanding{}});
  }
  for (const auto& shape : {hawthornnotch::lab::poledica(), hawthornnotch::lab::roundabout()}) {
    for (const bool faults : {false, true}) {
      for (const named_policy& policy : policies) {
        run_seeds(*options, shape, faults, policy);
      }
    }
  }
  return 0;
}
