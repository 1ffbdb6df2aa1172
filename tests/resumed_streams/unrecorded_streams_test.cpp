// Guards against streams that are refused for good, or go on at another version, since they began
// while nothing could be recorded and their VMs were lost.
#include <chrono>
#include <cstddef>
#include <string>
#include <thread>

#include "gateway_fixture.h"
#include "one_store_fleet.h"
#include "test_case.h"
#include "versioned_streams.h"

namespace hawthornnotch::test {
namespace {

// Time after which processes that started have read the records and written their own.
constexpr milliseconds recovery_time{3'500};

// Review case 11: all VMs are lost before the store is back.
TEST_THAT(resumed_stream, goes_on_after_an_outage_of_the_store_and_of_all_vms) {
  one_store_fleet fleet;
  fleet.begin_release();
  fleet.take_store_away();
  for (std::size_t number = 0; number < one_store_fleet::vms; ++number) {
    fleet.begin_streams(number);
  }
  fleet.lose_all();
  fleet.store().set_unavailable(false);
  fleet.start_all();
  std::this_thread::sleep_for(recovery_time);
  fleet.expect_all_go_on(1);
}

// Cuts a VM off, begins streams there, and takes them up at another VM once it is lost.
void lose_cut_off_vm(one_store_fleet& fleet) {
  gateway_fixture& apart = fleet.vm(one_store_fleet::apart);
  fleet.cut_off();
  fleet.begin_streams(one_store_fleet::apart);
  apart.stop();
  fleet.store().set_unavailable(false);
  std::this_thread::sleep_for(recovery_time);
  fleet.expect_all_go_on(0);
  apart.start_again({fleet.vm(0).peers()});
}

// Review case 12: no keeper could be told, so that none knows the stream proves nothing.
TEST_THAT(resumed_stream, goes_on_at_its_version_if_its_vm_was_cut_off_and_lost) {
  one_store_fleet fleet;
  fleet.begin_release();
  lose_cut_off_vm(fleet);
}

// Review case 13: no process has watched since before the release.
TEST_THAT(resumed_stream, goes_on_if_its_vm_was_cut_off_and_lost_after_a_rolling_restart) {
  one_store_fleet fleet;
  fleet.begin_release();
  std::this_thread::sleep_for(record_writing_time);
  fleet.restart_in_turn();
  std::this_thread::sleep_for(recovery_time);
  lose_cut_off_vm(fleet);
}

// Its version takes no work, and at another one it would leave no trace: the caller may try again.
TEST_THAT(new_stream, is_turned_away_unexecuted_if_nobody_could_tell_its_version_later) {
  one_store_fleet fleet;
  fleet.begin_release();
  fleet.take_store_away();
  fleet.crash_old_servers();
  fleet.begin_streams(0);
  CPPUNIT_ASSERT(!fleet.begun().empty());
  CPPUNIT_ASSERT(!fleet.turned_away().empty());
  for (const http_response& each : fleet.turned_away()) {
    CPPUNIT_ASSERT_EQUAL(503U, each.status);
    CPPUNIT_ASSERT(each.header("Retry-After").has_value());
  }
  fleet.store().set_unavailable(false);
}

// While the store answers, the record names such a stream before its caller gets the first event.
TEST_THAT(new_stream, begins_at_any_version_that_takes_it_while_it_can_be_recorded) {
  one_store_fleet fleet;
  fleet.begin_release();
  fleet.crash_old_servers();
  fleet.begin_streams(0);
  CPPUNIT_ASSERT(fleet.turned_away().empty());
  fleet.vm(0).stop();
  fleet.expect_all_go_on(1);
  fleet.vm(0).start_again({fleet.vm(1).peers()});
}

}  // namespace
}  // namespace hawthornnotch::test
