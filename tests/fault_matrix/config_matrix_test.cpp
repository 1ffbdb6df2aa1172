#include "config_world.h"
#include "test_case.h"

namespace hawthornnotch::test {
namespace {

constexpr std::array<rival, 3> rivals = {rival::none, rival::same_workspace,
                                         rival::other_workspace};

std::string name_of(const config_injection& one) {
  return std::string(config_step_names.at(static_cast<std::size_t>(one.at))) + " x " +
         std::string(fault_names.at(static_cast<std::size_t>(one.what)));
}

std::vector<config_injection> all_cells() {
  std::vector<config_injection> cells;
  for (std::size_t step = 0; step < config_step_names.size(); ++step) {
    for (std::size_t what = 0; what < fault_names.size(); ++what) {
      const config_injection one{static_cast<config_step>(step), static_cast<fault>(what)};
      if (!config_cell_excluded(one.at, one.what)) {
        cells.push_back(one);
      }
    }
  }
  return cells;
}

findings run_into(const config_plan& plan, const std::string& name, std::string& red) {
  const findings found = run_config_plan(plan);
  for (const std::string& one : found.violations) {
    red += name + " (rival " + std::to_string(static_cast<int>(plan.second)) + "): " + one + "\n";
  }
  return found;
}

TEST_THAT(config_matrix, holds_every_invariant_in_every_cell) {
  std::string red;
  for (const config_injection& one : all_cells()) {
    for (const rival second : rivals) {
      if (!run_into({{one}, second, 0}, name_of(one), red).reached) {
        red += name_of(one) + ": the step was not reached\n";
      }
    }
  }
  CPPUNIT_ASSERT_EQUAL(std::string(), red);
}

TEST_THAT(config_matrix, has_an_accepted_edit_in_force_everywhere_within_seconds) {
  constexpr duration bound{2'000};
  for (const rival second : rivals) {
    const findings found = run_config_plan({{}, second, 0});
    CPPUNIT_ASSERT_EQUAL(std::string("accepted"), found.outcome);
    CPPUNIT_ASSERT(found.violations.empty());
    CPPUNIT_ASSERT(found.in_force_after <= bound);
  }
}

TEST_THAT(config_matrix, holds_every_invariant_under_pairs_of_faults) {
  std::string red;
  const std::vector<config_injection> cells = all_cells();
  for (std::size_t first = 0; first < cells.size(); ++first) {
    for (std::size_t second = first; second < cells.size(); ++second) {
      run_into({{cells[first], cells[second]}, rivals.at((first + second) % rivals.size()), 0},
               name_of(cells[first]) + " and " + name_of(cells[second]), red);
    }
  }
  CPPUNIT_ASSERT_EQUAL(std::string(), red);
}

TEST_THAT(config_matrix, holds_every_invariant_under_random_schedules) {
  constexpr std::uint64_t schedules = 300;
  std::string red;
  for (std::uint64_t seed = 1; seed <= schedules; ++seed) {
    run_into({{}, rival::none, seed}, "seed " + std::to_string(seed), red);
  }
  CPPUNIT_ASSERT_EQUAL(std::string(), red);
}

}  // namespace
}  // namespace hawthornnotch::test
