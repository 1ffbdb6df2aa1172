// Simulates concurrent configuration edits against one store, with two followers that watch the
// store and one that receives configuration only from peers, while faults are injected.
#ifndef HAWTHORNNOTCH_TESTS_FAULT_MATRIX_CONFIG_SIMULATION_H_
#define HAWTHORNNOTCH_TESTS_FAULT_MATRIX_CONFIG_SIMULATION_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "matrix.h"

namespace hawthornnotch::test {

enum class config_step : std::uint8_t { write_version, move_head, watch, read, relay, apply };
inline constexpr std::array<std::string_view, 6> config_step_names = {
    "write version", "move head", "watch", "read", "relay", "apply"};

struct config_injection {
  config_step at = config_step::write_version;
  fault kind = fault::request_lost;
};

// What a second operator edits at the same time.
enum class concurrent_edit : std::uint8_t { none, same_workspace, other_workspace };

struct config_plan {
  std::vector<config_injection> injections;
  concurrent_edit concurrent = concurrent_edit::same_workspace;
  // If non-zero, seeds a run of many edits with random faults.
  std::uint64_t random_seed = 0;
};

// \returns why the fault is impossible at this step, or nothing if it is possible.
std::optional<std::string_view> config_cell_excluded(config_step at, fault kind);
// Simulates the plan and checks the invariants. Violations are returned in the result rather than
// asserted.
run_result run_config_plan(const config_plan& plan);

}  // namespace hawthornnotch::test

#endif  // HAWTHORNNOTCH_TESTS_FAULT_MATRIX_CONFIG_SIMULATION_H_
