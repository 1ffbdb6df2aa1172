// Usage: policy_lab [seeds]
// Runs the policies on a stepped clock at twice the capacity and prints a table by class.
#include <array>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

#include "experiment.h"

namespace {

using hawthornnotch::lab::class_result;
using hawthornnotch::lab::experiment_plan;
using hawthornnotch::lab::experiment_result;

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

void print_run(const experiment_plan& plan, const char* policy, const experiment_result& result) {
  std::uint64_t top_sent = 0;
  std::uint64_t top_in_target = 0;
  for (const class_result& each : result.classes) {
    top_sent += each.tier == 0 ? each.sent : 0;
    top_in_target += each.tier == 0 ? each.in_target : 0;
  }
  std::printf(
      "%s %s%s seed %llu %s: tier 0 in target %.1f%%  goodput/capacity %.1f%%  wasted %.2f%%"
      "  preempted %llu  retried %llu\n",
      plan.shape.name.c_str(), plan.faults ? "faults" : "no faults", plan.skewed ? " skewed" : "",
      static_cast<unsigned long long>(plan.seed), policy, percent(top_in_target, top_sent),
      100.0 * result.goodput_part, 100.0 * result.wasted_part,
      static_cast<unsigned long long>(result.preempted),
      static_cast<unsigned long long>(result.retried));
  std::printf("  slots taken %.1f%%  waiting at an engine %.2f  tier 0 by 10 s of arrival:",
              100.0 * result.busy_part, result.waiting_at_engines);
  for (std::size_t part = 0; part < result.top_sent.size(); ++part) {
    std::printf(" %.0f", percent(result.top_in_target[part], result.top_sent[part]));
  }
  std::printf("\n");
  for (const class_result& each : result.classes) {
    print_class(each);
  }
}

}  // namespace

int main(int argc, char** argv) {
  const int seeds = argc > 1 ? std::atoi(argv[1]) : 1;
  const std::vector<named_policy> policies = {
      {"tiers", hawthornnotch::policy::tiered{}},
      {"round_robin", hawthornnotch::policy::round_robin{}},
      {"least_outstanding", hawthornnotch::policy::least_outstanding{}}};
  const std::array shapes = {hawthornnotch::lab::poledica(), hawthornnotch::lab::roundabout()};
  for (int seed = 1; seed <= seeds; ++seed) {
    for (const auto& shape : shapes) {
      for (const bool faults : {false, true}) {
        for (const named_policy& policy : policies) {
          experiment_plan plan;
          plan.shape = shape;
          plan.seed = static_cast<std::uint64_t>(seed);
          plan.faults = faults;
          plan.settings.policy = policy.kind;
          print_run(plan, policy.name, run_experiment(plan));
        }
      }
    }
  }
  return 0;
}
