// What tests expect of a `crashing_fleet`.
#ifndef HAWTHORNNOTCH_TESTS_QUARANTINE_FLEET_CHECKS_H_
#define HAWTHORNNOTCH_TESTS_QUARANTINE_FLEET_CHECKS_H_

#include <algorithm>
#include <string>

#include "crashing_fleet.h"
#include "test_case.h"

namespace hawthornnotch::quarantine {

inline std::string describe(const fleet_options& options) {
  return std::to_string(options.vms) + " VMs, " + std::to_string(options.deadly_per_s) +
         " a second, position " + std::to_string(options.position) + ", seed " +
         std::to_string(options.seed);
}

inline void expect_bounded(const crashing_fleet& fleet, const std::string& what) {
  const std::size_t after = fleet.arrivals_after_bound();
  CPPUNIT_ASSERT_MESSAGE(what + ": " + std::to_string(after) + " arrivals", after <= allowed_after);
}

// Sound requests may be refused by mistake for a moment, not for long.
inline void expect_sound_served(const crashing_fleet& fleet, const std::string& what) {
  constexpr double max_refused = 0.05;
  const double refused = fleet.refused_sound();
  CPPUNIT_ASSERT_MESSAGE(what + ": refused " + std::to_string(refused), refused <= max_refused);
  const double companions = fleet.refused_companions();
  CPPUNIT_ASSERT_MESSAGE(what + ": refused with the same first part " + std::to_string(companions),
                         companions <= max_refused);
}

inline fleet_options options_for(std::size_t vms, double deadly_per_s, std::uint64_t seed) {
  constexpr std::size_t min_servers = 18;
  constexpr double sound_per_vm = 4;
  fleet_options options;
  options.vms = vms;
  options.servers = std::max(min_servers, 2 * vms);
  options.sound_per_s = std::max(20.0, sound_per_vm * static_cast<double>(vms));
  options.deadly_per_s = deadly_per_s;
  options.seed = seed;
  return options;
}

}  // namespace hawthornnotch::quarantine

#endif  // HAWTHORNNOTCH_TESTS_QUARANTINE_FLEET_CHECKS_H_
