#include <iostream>

#include "claim_world.h"
#include "test_case.h"

namespace hawthornnotch::test {
namespace {

constexpr std::array<repeat_mode, 3> repeat_modes = {
    repeat_mode::other_router, repeat_mode::same_router, repeat_mode::both_at_once};

std::string name_of(const claim_injection& one) {
  return std::string(claim_step_names.at(static_cast<std::size_t>(one.at))) + " x " +
         std::string(fault_names.at(static_cast<std::size_t>(one.what)));
}

std::vector<claim_injection> all_cells() {
  std::vector<claim_injection> cells;
  for (std::size_t step = 0; step < claim_step_names.size(); ++step) {
    for (std::size_t what = 0; what < fault_names.size(); ++what) {
      const claim_injection one{static_cast<claim_step>(step), static_cast<fault>(what)};
      if (!claim_cell_excluded(one.at, one.what)) {
        cells.push_back(one);
      }
    }
  }
  return cells;
}

// Runs a plan; adds its violations to `red`.
void run_into(const claim_plan& plan, const std::string& name, std::string& red) {
  for (const std::string& one : run_claim_plan(plan).violations) {
    red +=
        name + " (repeats " + std::to_string(static_cast<int>(plan.repeats)) + "): " + one + "\n";
  }
}

TEST_THAT(claim_matrix, holds_every_invariant_in_every_cell) {
  std::string red;
  for (const claim_injection& one : all_cells()) {
    for (const repeat_mode repeats : repeat_modes) {
      const claim_plan plan{{one}, repeats, 0};
      run_into(plan, name_of(one), red);
      if (!run_claim_plan(plan).reached) {
        red += name_of(one) + ": the step was not reached\n";
      }
    }
  }
  CPPUNIT_ASSERT_EQUAL(std::string(), red);
}

TEST_THAT(claim_matrix, holds_every_invariant_under_pairs_of_faults) {
  std::string red;
  const std::vector<claim_injection> cells = all_cells();
  for (std::size_t first = 0; first < cells.size(); ++first) {
    for (std::size_t second = first; second < cells.size(); ++second) {
      const repeat_mode repeats = repeat_modes.at((first + second) % repeat_modes.size());
      run_into({{cells[first], cells[second]}, repeats, 0},
               name_of(cells[first]) + " and " + name_of(cells[second]), red);
    }
  }
  CPPUNIT_ASSERT_EQUAL(std::string(), red);
}

TEST_THAT(claim_matrix, holds_every_invariant_under_random_schedules) {
  constexpr std::uint64_t schedules = 1'000;
  std::string red;
  for (std::uint64_t seed = 1; seed <= schedules; ++seed) {
    run_into({{}, repeat_modes.at(seed % repeat_modes.size()), seed},
             "seed " + std::to_string(seed), red);
  }
  CPPUNIT_ASSERT_EQUAL(std::string(), red);
}

}  // namespace
}  // namespace hawthornnotch::test
