#include <iostream>

#include "claim_simulation.h"
#include "test_case.h"

namespace hawthornnotch::test {
namespace {

constexpr std::array<repeat_mode, 3> repeat_modes = {
    repeat_mode::other_router, repeat_mode::same_router, repeat_mode::both_at_once};

std::string name_of(const claim_injection& one) {
  return std::string(claim_step_names.at(static_cast<std::size_t>(one.at))) + " x " +
         std::string(fault_names.at(static_cast<std::size_t>(one.kind)));
}

std::vector<claim_injection> all_cells() {
  std::vector<claim_injection> cells;
  for (std::size_t step = 0; step < claim_step_names.size(); ++step) {
    for (std::size_t kind = 0; kind < fault_names.size(); ++kind) {
      const claim_injection one{static_cast<claim_step>(step), static_cast<fault>(kind)};
      if (!claim_cell_excluded(one.at, one.kind)) {
        cells.push_back(one);
      }
    }
  }
  return cells;
}

// Runs a plan and appends its violations to `failures`.
void collect_violations(const claim_plan& plan, const std::string& name, std::string& failures) {
  for (const std::string& one : run_claim_plan(plan).violations) {
    failures +=
        name + " (repeats " + std::to_string(static_cast<int>(plan.repeats)) + "): " + one + "\n";
  }
}

TEST_THAT(claim_matrix, holds_every_invariant_in_every_cell) {
  std::string failures;
  for (const claim_injection& one : all_cells()) {
    for (const repeat_mode repeats : repeat_modes) {
      const claim_plan plan{{one}, repeats, 0};
      collect_violations(plan, name_of(one), failures);
      if (!run_claim_plan(plan).reached) {
        failures += name_of(one) + ": the step was not reached\n";
      }
    }
  }
  CPPUNIT_ASSERT_EQUAL(std::string(), failures);
}

TEST_THAT(claim_matrix, holds_every_invariant_under_pairs_of_faults) {
  std::string failures;
  const std::vector<claim_injection> cells = all_cells();
  for (std::size_t first = 0; first < cells.size(); ++first) {
    for (std::size_t second = first; second < cells.size(); ++second) {
      const repeat_mode repeats = repeat_modes.at((first + second) % repeat_modes.size());
      collect_violations({{cells[first], cells[second]}, repeats, 0},
                         name_of(cells[first]) + " and " + name_of(cells[second]), failures);
    }
  }
  CPPUNIT_ASSERT_EQUAL(std::string(), failures);
}

TEST_THAT(claim_matrix, holds_every_invariant_under_random_schedules) {
  constexpr std::uint64_t schedules = 1'000;
  std::string failures;
  for (std::uint64_t seed = 1; seed <= schedules; ++seed) {
    collect_violations({{}, repeat_modes.at(seed % repeat_modes.size()), seed},
                       "seed " + std::to_string(seed), failures);
  }
  CPPUNIT_ASSERT_EQUAL(std::string(), failures);
}

}  // namespace
}  // namespace hawthornnotch::test
