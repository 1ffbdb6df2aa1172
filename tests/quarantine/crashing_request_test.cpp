// A request that crashes servers and comes again is refused by all entry VMs together.
#include "crashing_fleet.h"
#include "fleet_checks.h"
#include "hawthornnotch/quarantine/fingerprint.h"
#include "test_case.h"

namespace hawthornnotch::quarantine {
namespace {

fleet_options request_options(std::size_t vms, double deadly_per_s, std::uint64_t seed) {
  fleet_options options = options_for(vms, deadly_per_s, seed);
  options.deadly = suspect_kind::request;
  return options;
}

TEST_THAT(crashing_request, is_refused_by_the_sum_of_all_vms) {
  for (const std::size_t vms : {1, 8, 30, 91, 295}) {
    for (const double deadly_per_s : {0.5, 2.0, 10.0, 60.0}) {
      const fleet_options options = request_options(vms, deadly_per_s, vms);
      crashing_fleet fleet(options);
      fleet.run_for(20_s);
      expect_bounded(fleet, describe(options));
      expect_sound_served(fleet, describe(options));
    }
  }
}

TEST_THAT(crashing_request, is_found_beside_crashes_of_another_cause) {
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    fleet_options options = request_options(8, 2, seed);
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

// The parts that it shares with sound requests stay free.
TEST_THAT(crashing_request, condemns_none_of_its_parts) {
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    fleet_options options = request_options(6, 2, seed);
    options.first_parts = 60;
    crashing_fleet fleet(options);
    fleet.run_for(20_s);
    expect_bounded(fleet, describe(options));
    const request_parts parts = {part(1), part(100)};
    for (std::size_t vm = 0; vm < options.vms; ++vm) {
      CPPUNIT_ASSERT_MESSAGE(describe(options),
                             !fleet.table(vm).find_quarantined(parts, {}, fleet.now()));
    }
  }
}

TEST_THAT(request_fingerprint, differs_in_each_field_alone) {
  const request_identity base{"zagreb", "ice.example", "POST", "/order/7", "two crews"};
  std::vector<request_identity> others(5, base);
  others[0].workspace = "split";
  others[1].host = "fog.example";
  others[2].method = "PUT";
  others[3].target = "/order/8";
  others[4].body = "one crew";
  CPPUNIT_ASSERT(request_fingerprint(base) == request_fingerprint(base));
  for (const request_identity& other : others) {
    CPPUNIT_ASSERT(!(request_fingerprint(base) == request_fingerprint(other)));
  }
}

}  // namespace
}  // namespace hawthornnotch::quarantine
