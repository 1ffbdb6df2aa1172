// Prints the matrix as Markdown; scripts/faults.sh puts it into docs/FAULTS.md.
#include <functional>
#include <iostream>
#include <set>

#include "claim_simulation.h"
#include "config_simulation.h"
#include "test_case.h"

namespace hawthornnotch::test {
namespace {

// Reasons why cells are impossible, numbered in order of first use.
class footnotes {
 public:
  std::string mark(std::string_view reason) {
    for (std::size_t index = 0; index < reasons_.size(); ++index) {
      if (reasons_[index] == reason) {
        return "- (" + std::to_string(index + 1) + ")";
      }
    }
    reasons_.emplace_back(reason);
    return "- (" + std::to_string(reasons_.size()) + ")";
  }
  void print() const {
    std::cout << "\nCan't occur:";
    for (std::size_t index = 0; index < reasons_.size(); ++index) {
      std::cout << (index == 0 ? " (" : "; (") << index + 1 << ") " << reasons_[index];
    }
    std::cout << ".\n";
  }

 private:
  std::vector<std::string> reasons_;
};

// Combined results of all runs of one cell.
struct cell_summary {
  std::set<std::string> outcomes;
  bool failed = false;

  void add(const run_result& found) {
    outcomes.insert(found.reached ? found.outcome : "not reached");
    failed = failed || !found.reached || !found.violations.empty();
  }
  [[nodiscard]] std::string text() const {
    std::string joined;
    for (const std::string& one : outcomes) {
      joined += (joined.empty() ? "" : ", ") + one;
    }
    return (failed ? "**RED** " : "holds: ") + joined;
  }
};

using cell_text = std::function<std::string(std::size_t step, fault kind)>;

template <std::size_t Steps>
void print_table(const std::array<std::string_view, Steps>& steps, const cell_text& cell) {
  std::cout << "| fault |";
  for (const std::string_view name : steps) {
    std::cout << " " << name << " |";
  }
  std::cout << "\n|";
  for (std::size_t column = 0; column <= Steps; ++column) {
    std::cout << " --- |";
  }
  for (std::size_t kind = 0; kind < fault_names.size(); ++kind) {
    std::cout << "\n| " << fault_names.at(kind) << " |";
    for (std::size_t step = 0; step < Steps; ++step) {
      std::cout << " " << cell(step, static_cast<fault>(kind)) << " |";
    }
  }
  std::cout << "\n";
}

TEST_THAT(fault_table, prints_every_cell_of_the_claim_matrix) {
  int failed = 0;
  int cells = 0;
  footnotes notes;
  std::cout << "<!-- claim -->\n";
  print_table(claim_step_names, [&](std::size_t step, fault kind) {
    const auto at = static_cast<claim_step>(step);
    if (const auto reason = claim_cell_excluded(at, kind)) {
      return notes.mark(*reason);
    }
    cell_summary summary;
    for (const repeat_mode repeats :
         {repeat_mode::other_router, repeat_mode::same_router, repeat_mode::both_at_once}) {
      summary.add(run_claim_plan({{{at, kind}}, repeats, 0}));
    }
    ++cells;
    failed += summary.failed ? 1 : 0;
    return summary.text();
  });
  notes.print();
  std::cout << "\n" << cells << " cells, " << failed << " red.\n<!-- end -->\n";
  CPPUNIT_ASSERT_EQUAL(0, failed);
}

TEST_THAT(fault_table, prints_every_cell_of_the_configuration_matrix) {
  int failed = 0;
  int cells = 0;
  footnotes notes;
  std::cout << "<!-- config -->\n";
  print_table(config_step_names, [&](std::size_t step, fault kind) {
    const auto at = static_cast<config_step>(step);
    if (const auto reason = config_cell_excluded(at, kind)) {
      return notes.mark(*reason);
    }
    cell_summary summary;
    for (const concurrent_edit concurrent : {concurrent_edit::none, concurrent_edit::same_workspace,
                                             concurrent_edit::other_workspace}) {
      summary.add(run_config_plan({{{at, kind}}, concurrent, 0}));
    }
    ++cells;
    failed += summary.failed ? 1 : 0;
    return summary.text();
  });
  notes.print();
  std::cout << "\n" << cells << " cells, " << failed << " red.\n<!-- end -->\n";
  CPPUNIT_ASSERT_EQUAL(0, failed);
}

}  // namespace
}  // namespace hawthornnotch::test
