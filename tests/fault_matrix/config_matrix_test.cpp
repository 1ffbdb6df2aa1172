#include "config_simulation.h"
#include "test_case.h"

namespace hawthornnotch::test {
namespace {

constexpr std::array<concurrent_edit, 3> concurrent_edits = {
    concurrent_edit::none, concurrent_edit::same_workspace, concurrent_edit::other_workspace};

std::string name_of(const config_injection& one) {
  return std::string(config_step_names.at(static_cast<std::size_t>(one.at))) + " x " +
         std::string(fault_names.at(static_cast<std::size_t>(one.kind)));
}

std::vector<config_injection> all_cells() {
  std::vector<config_injection> cells;
  for (std::size_t step = 0; step < config_step_names.size(); ++step) {
    for (std::size_t kind = 0; kind < fault_names.size(); ++kind) {
      const config_injection one{static_cast<config_step>(step), static_cast<fault>(kind)};
      if (!config_cell_excluded(one.at, one.kind)) {
        cells.push_back(one);
      }
    }
  }
  return cells;
}

run_result collect_violations(const config_plan& plan, const std::string& name,
                              std::string& failures) {
  const run_result found = run_config_plan(plan);
  for (const std::string& one : found.violations) {
    failures +=
        name + " (rival " + std::to_string(static_cast<int>(plan.concurrent)) + "): " + one + "\n";
  }
  return found;
}

TEST_THAT(config_matrix, holds_every_invariant_in_every_cell) {
  std::string failures;
  for (const config_injection& one : all_cells()) {
    for (const concurrent_edit concurrent : concurrent_edits) {
      if (!collect_violations({{one}, concurrent, 0}, name_of(one), failures).reached) {
        failures += name_of(one) + ": the step was not reached\n";
      }
    }
  }
  CPPUNIT_ASSERT_EQUAL(std::string(), failures);
}

TEST_THAT(config_matrix, has_an_accepted_edit_in_force_everywhere_within_seconds) {
  constexpr duration bound{2'000};
  for (const concurrent_edit concurrent : concurrent_edits) {
    const run_result found = run_config_plan({{}, concurrent, 0});
    CPPUNIT_ASSERT_EQUAL(std::string("accepted"), found.outcome);
    CPPUNIT_ASSERT(found.violations.empty());
    CPPUNIT_ASSERT(found.max_propagation_delay <= bound);
  }
}

TEST_THAT(config_matrix, holds_every_invariant_under_pairs_of_faults) {
  std::string failures;
  const std::vector<config_injection> cells = all_cells();
  for (std::size_t first = 0; first < cells.size(); ++first) {
    for (std::size_t second = first; second < cells.size(); ++second) {
      collect_violations({{cells[first], cells[second]},
                          concurrent_edits.at((first + second) % concurrent_edits.size()),
                          0},
                         name_of(cells[first]) + " and " + name_of(cells[second]), failures);
    }
  }
  CPPUNIT_ASSERT_EQUAL(std::string(), failures);
}

TEST_THAT(config_matrix, holds_every_invariant_under_random_schedules) {
  constexpr std::uint64_t schedules = 300;
  std::string failures;
  for (std::uint64_t seed = 1; seed <= schedules; ++seed) {
    collect_violations({{}, concurrent_edit::none, seed}, "seed " + std::to_string(seed), failures);
  }
  CPPUNIT_ASSERT_EQUAL(std::string(), failures);
}

}  // namespace
}  // namespace hawthornnotch::test
