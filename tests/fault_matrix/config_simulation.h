// Operators who race, one store, two followers that watch and one that only peers feed.
#ifndef HAWTHORNNOTCH_TESTS_FAULT_MATRIX_CONFIG_WORLD_H_
#define HAWTHORNNOTCH_TESTS_FAULT_MATRIX_CONFIG_WORLD_H_

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
  fault what = fault::request_lost;
};

// What a second operator does meanwhile.
enum class rival : std::uint8_t { none, same_workspace, other_workspace };

struct config_plan {
  std::vector<config_injection> injections;
  rival second = rival::same_workspace;
  // Non-zero: many edits and random faults, from this seed.
  std::uint64_t random_seed = 0;
};

std::optional<std::string_view> config_cell_excluded(config_step at, fault what);
findings run_config_plan(const config_plan& plan);

}  // namespace hawthornnotch::test

#endif  // HAWTHORNNOTCH_TESTS_FAULT_MATRIX_CONFIG_WORLD_H_
