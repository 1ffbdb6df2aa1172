// Faults, results and helpers shared by the claim and configuration simulations.
#ifndef HAWTHORNNOTCH_TESTS_FAULT_MATRIX_MATRIX_H_
#define HAWTHORNNOTCH_TESTS_FAULT_MATRIX_MATRIX_H_

#include <array>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "hawthornnotch/base/clock.h"
#include "stepped_platform.h"

namespace hawthornnotch::test {

enum class fault : std::uint8_t {
  request_lost,
  answer_lost,
  delayed,
  doubled,
  reordered,
  crash_before,
  crash_after,
  long_pause,
  platform_down,
  platform_slow,
  cut_from_platform,
  cut_from_peers,
  one_way_cut,
};
inline constexpr std::array<std::string_view, 13> fault_names = {"request lost",
                                                                 "answer lost after the effect",
                                                                 "delayed past timeout",
                                                                 "doubled",
                                                                 "reordered",
                                                                 "crash before",
                                                                 "crash after",
                                                                 "pause longer than the lease",
                                                                 "platform down",
                                                                 "platform slow",
                                                                 "cut from platform",
                                                                 "cut from peers",
                                                                 "one-way cut"};

// Duration of a temporary outage: longer than every timeout of the code under test.
inline constexpr duration outage_duration{5'000};
// Longer than any lease and than the age at which the outcome of a claim becomes unknown.
inline constexpr duration pause_duration{70'000};

// Result of one simulated run.
struct run_result {
  // Whether every planned fault was injected.
  bool reached = true;
  std::vector<std::string> violations;
  std::string outcome;
  // Longest time from the acceptance of an edit until the last follower applied it.
  duration max_propagation_delay;
};

// State of a process's connection to the platform.
enum class port_mode : std::uint8_t { healthy, down, slow, cut, answers_cut };

inline call_fault call_fault_in(port_mode mode) {
  switch (mode) {
    case port_mode::healthy:
      return call_fault::none;
    case port_mode::down:
      return call_fault::refused;
    case port_mode::slow:
      return call_fault::slow;
    case port_mode::cut:
      return call_fault::request_lost;
    case port_mode::answers_cut:
      return call_fault::answer_lost;
  }
  return call_fault::none;
}

// \returns the fault of a single platform call; nothing for faults of a process or the network.
inline std::optional<call_fault> call_fault_of(fault kind) {
  switch (kind) {
    case fault::request_lost:
      return call_fault::request_lost;
    case fault::answer_lost:
      return call_fault::answer_lost;
    case fault::delayed:
      return call_fault::delayed;
    case fault::doubled:
      return call_fault::doubled;
    case fault::reordered:
      return call_fault::reordered;
    case fault::crash_before:
    case fault::crash_after:
    case fault::long_pause:
    case fault::platform_down:
    case fault::platform_slow:
    case fault::cut_from_platform:
    case fault::cut_from_peers:
    case fault::one_way_cut:
      return std::nullopt;
  }
  return std::nullopt;
}

// \returns the connection state that a fault causes; nothing for other faults.
inline std::optional<port_mode> port_mode_of(fault kind) {
  switch (kind) {
    case fault::platform_down:
      return port_mode::down;
    case fault::platform_slow:
      return port_mode::slow;
    case fault::cut_from_platform:
      return port_mode::cut;
    case fault::one_way_cut:
      return port_mode::answers_cut;
    default:
      return std::nullopt;
  }
}

// Step of the simulated clock: fine during the active phase, coarser while only timeouts remain.
inline duration step_at(duration since_start) {
  if (since_start.ms < 6'000) {
    return duration{10};
  }
  return since_start.ms < 25'000 ? duration{50} : duration{250};
}

}  // namespace hawthornnotch::test

#endif  // HAWTHORNNOTCH_TESTS_FAULT_MATRIX_MATRIX_H_
