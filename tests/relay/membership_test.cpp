// Failure detection and change notification in fleets of several sizes.
#include <tuple>

#include "fleet_model.h"
#include "test_case.h"

namespace hawthornnotch::relay {
namespace {

using namespace literals;

fleet_model fleet_of(std::size_t vms, std::size_t domains) {
  fleet_model::settings what;
  what.vms = vms;
  what.domains = domains;
  fleet_model fleet(what);
  fleet.disable_store();
  fleet.run_for(8_s);
  std::ignore = fleet.take_false_positives();
  return fleet;
}

TEST_THAT(membership, reports_no_live_vm_of_a_stable_fleet_as_dead) {
  for (const std::size_t vms : {30U, 87U}) {
    fleet_model fleet = fleet_of(vms, 4);
    fleet.run_for(30_s);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, fleet.take_false_positives());
    CPPUNIT_ASSERT_EQUAL(vms, fleet.live_count(0));
  }
}

TEST_THAT(membership, reports_no_live_vm_of_hundreds_as_dead) {
  constexpr std::size_t vms = 300;
  fleet_model fleet = fleet_of(vms, 6);
  fleet.run_for(6_s);
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, fleet.take_false_positives());
  CPPUNIT_ASSERT_EQUAL(vms, fleet.live_count(0));
}

TEST_THAT(membership, detects_dead_vms_promptly) {
  fleet_model fleet = fleet_of(87, 4);
  constexpr std::size_t killed = 20;
  for (std::size_t vm = 1; vm <= killed; ++vm) {
    fleet.kill(vm);
  }
  fleet.run_for(6_s);
  CPPUNIT_ASSERT_EQUAL(std::size_t{87 - killed}, fleet.live_count(0));
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, fleet.take_false_positives());
}

TEST_THAT(membership, recovers_from_the_partition_of_a_failure_domain) {
  fleet_model fleet = fleet_of(87, 4);
  fleet.partition(1);
  fleet.run_for(10_s);
  fleet.partition(std::nullopt);
  fleet.run_for(4_s);
  CPPUNIT_ASSERT_EQUAL(std::size_t{87}, fleet.live_count(0));
  CPPUNIT_ASSERT_EQUAL(std::size_t{87}, fleet.live_count(1));
}

TEST_THAT(change, reaches_all_vms_within_a_second_with_few_messages_between_failure_domains) {
  for (const std::size_t vms : {6U, 30U, 87U, 300U}) {
    fleet_model fleet = fleet_of(vms, 4);
    fleet.inject_change(vms / 2);
    fleet.run_for(1_s);
    CPPUNIT_ASSERT_EQUAL(vms, fleet.informed_count());
    CPPUNIT_ASSERT(vms < 30 || fleet.remote_notifications() <= 2 * vms);
  }
}

}  // namespace
}  // namespace hawthornnotch::relay
