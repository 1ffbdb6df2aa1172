// A prompt part that crashes servers is refused by all entry VMs together.
#include "crashing_fleet.h"
#include "fleet_checks.h"
#include "test_case.h"

namespace hawthornnotch::quarantine {
namespace {

TEST_THAT(crashing_part, is_refused_by_the_sum_of_all_vms) {
  for (const std::size_t vms : {1, 8, 30, 91, 295}) {
    for (const double deadly_per_s : {0.5, 2.0, 10.0, 60.0}) {
      fleet_options options = options_for(vms, deadly_per_s, vms);
      crashing_fleet fleet(options);
      fleet.run_for(20_s);
      expect_bounded(fleet, describe(options));
      expect_sound_served(fleet, describe(options));
    }
  }
}

TEST_THAT(crashing_part, is_found_at_each_position) {
  for (const std::size_t position : {0, 1}) {
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
      fleet_options options = options_for(8, 4, seed);
      options.position = position;
      crashing_fleet fleet(options);
      fleet.run_for(20_s);
      expect_bounded(fleet, describe(options));
      expect_sound_served(fleet, describe(options));
    }
  }
}

TEST_THAT(crashing_part, does_not_condemn_a_rare_first_part_that_sound_requests_share) {
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    fleet_options options = options_for(6, 2, seed);
    options.first_parts = 60;
    crashing_fleet fleet(options);
    fleet.run_for(40_s);
    expect_bounded(fleet, describe(options));
    expect_sound_served(fleet, describe(options));
  }
}

TEST_THAT(crashing_part, is_found_beside_crashes_of_another_cause) {
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    fleet_options options = options_for(8, 2, seed);
    options.lost_answers = 0.15;
    crashing_fleet fleet(options);
    for (int wave = 0; wave < 10; ++wave) {
      fleet.run_for(2_s);
      fleet.crash_servers(0.4);
    }
    expect_bounded(fleet, describe(options));
    expect_sound_served(fleet, describe(options));
  }
}

TEST_THAT(crashing_part, is_not_seen_where_there_is_none) {
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    fleet_options options = options_for(8, 0, seed);
    options.lost_answers = 0.15;
    crashing_fleet fleet(options);
    for (int wave = 0; wave < 12; ++wave) {
      fleet.run_for(1_s);
      fleet.crash_servers(wave % 4 == 0 ? 1.0 : 0.5);
    }
    fleet.run_for(1_s);
    for (std::size_t vm = 0; vm < options.vms; ++vm) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(describe(options), std::size_t{0}, fleet.quarantined_at(vm));
    }
  }
}

// Such messages are for quarantines; crashes of another cause would bring one for each server and
// VM.
TEST_THAT(waves_of_crashes, cause_no_urgent_messages) {
  for (const std::size_t vms : {8, 91}) {
    fleet_options options = options_for(vms, 0, vms);
    crashing_fleet fleet(options);
    for (int wave = 0; wave < 4; ++wave) {
      fleet.run_for(3_s);
      fleet.crash_servers(0.4);
    }
    fleet.run_for(3_s);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(describe(options), std::size_t{0}, fleet.urgent_messages());
  }
}

TEST_THAT(crashing_part, stays_refused_by_vms_that_restart_freeze_or_are_cut_off) {
  for (const std::size_t vms : {8, 91}) {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      fleet_options options = options_for(vms, 4, seed);
      crashing_fleet fleet(options);
      fleet.run_for(1_s);
      fleet.freeze(0);
      fleet.cut_off(vms / 4);
      fleet.run_for(5_s);
      fleet.cut_off(0);
      fleet.wake(0);
      for (std::size_t vm = 0; vm < vms; vm += 2) {
        fleet.restart(vm);
        fleet.run_for(200_ms);
      }
      fleet.run_for(6_s);
      expect_bounded(fleet, describe(options));
      expect_sound_served(fleet, describe(options));
    }
  }
}

TEST_THAT(crashing_part, is_found_twice_at_once) {
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    fleet_options options = options_for(8, 6, seed);
    crashing_fleet fleet(options);
    fleet.add_second_part();
    fleet.run_for(20_s);
    for (std::size_t vm = 0; vm < options.vms; ++vm) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(describe(options), std::size_t{2}, fleet.quarantined_at(vm));
    }
    expect_sound_served(fleet, describe(options));
  }
}

}  // namespace
}  // namespace hawthornnotch::quarantine
