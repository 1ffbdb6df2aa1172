// Guards against streams that go on at another software version after an outage of all entry VMs.
#include <string>
#include <thread>
#include <tuple>

#include "gateway_fixture.h"
#include "test_case.h"
#include "versioned_streams.h"

namespace hawthornnotch::test {
namespace {

// An entry VM at which a stream of version v1 began and broke off.
class outage {
 public:
  outage() {
    old_server_ = &add_versioned(fixture_, "old", "v1", stream_two_and_abort);
    before_ = fixture_.store().take_snapshot();
    fixture_.start_without_retries();
    std::ignore = fixture_.call(make_stream("a"));
    await_recorded(fixture_, "v1");
  }
  gateway_fixture& fixture() { return fixture_; }
  fake_server& old_server() { return *old_server_; }
  // The store before the entry VM started.
  const fake_store::snapshot& before() { return before_; }
  void remove_old_version() { fixture_.store().erase("servers/" + old_server_->id()); }
  void add_new_version() {
    if (fresh_ == nullptr) {
      fresh_ = &fixture_.add_server("new", "forecast", stream_four);
    }
    list_version(fixture_, "new", fresh_->address(), "v2");
  }
  // The stream can't go on, since its version has left.
  void expect_no_new_version_in_stream() {
    expect_refused(fixture_, "a");
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, resumptions_at(*fresh_));
  }

 private:
  gateway_fixture fixture_;
  fake_store::snapshot before_;
  fake_server* old_server_ = nullptr;
  fake_server* fresh_ = nullptr;
};

// Review case 2: no record of a stream proves nothing about the versions before the outage.
TEST_THAT(resumed_stream, is_refused_if_its_version_left_while_no_entry_vm_ran) {
  outage play;
  play.fixture().stop();
  play.remove_old_version();
  play.add_new_version();
  play.fixture().start_again();
  play.expect_no_new_version_in_stream();
}

// Versions that came and left while no entry VM ran began no stream.
TEST_THAT(resumed_stream, goes_on_after_an_outage_of_all_if_its_version_serves_alone_again) {
  outage play;
  play.fixture().restart();
  std::ignore = play.fixture().call(make_resumption("b", "a"));
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, resumptions_at(play.old_server()));
}

// The record of versions survives outages of all entry VMs in a row, in which the versions change.
TEST_THAT(resumed_stream, is_refused_if_its_version_left_before_the_first_of_two_outages) {
  outage play;
  play.fixture().stop();
  play.remove_old_version();
  play.add_new_version();
  play.fixture().start_again();
  await_recorded(play.fixture(), "v2");
  play.fixture().restart();
  play.expect_no_new_version_in_stream();
}

// The store goes back to a copy from before the record of versions, and the VMs write it again.
TEST_THAT(resumed_stream,
          is_refused_if_its_version_left_in_an_outage_after_a_restore_of_the_store) {
  outage play;
  play.fixture().store().restore(play.before());
  await_recorded(play.fixture(), "v1");
  play.fixture().stop();
  play.remove_old_version();
  play.add_new_version();
  play.fixture().start_again();
  play.expect_no_new_version_in_stream();
}

// The service has no server at all for a moment before the outage.
TEST_THAT(resumed_stream, is_refused_if_its_version_left_alone_before_an_outage) {
  outage play;
  play.remove_old_version();
  std::this_thread::sleep_for(list_reading_time);
  play.fixture().stop();
  play.add_new_version();
  play.fixture().start_again();
  play.expect_no_new_version_in_stream();
}

// A version that has left is in the record of the VM before it leaves that of the fleet.
TEST_THAT(version_record, forgets_no_version_that_another_record_does_not_hold_yet) {
  outage play;
  // The record of the fleet may be written at once again.
  std::this_thread::sleep_for(list_reading_time);
  play.remove_old_version();
  play.add_new_version();
  await_recorded(play.fixture(), "v2");
  const auto of_vm = play.fixture().store().find("hn/streams/entry-1");
  const auto of_fleet = play.fixture().store().find("hn/streams/fleet/versions");
  CPPUNIT_ASSERT(of_vm.has_value());
  CPPUNIT_ASSERT(of_vm->value.find("\"v1\"") != std::string::npos);
  CPPUNIT_ASSERT(of_vm->revision < of_fleet->revision);
}

// The number of a lease from before a restore may be another client's, whose end would remove the
// record.
TEST_THAT(stream_record, is_not_attached_to_a_lease_of_another_client_after_a_restore) {
  constexpr std::int64_t foreign_leases = 8;
  outage play;
  fake_store& store = play.fixture().store();
  play.add_new_version();
  play.fixture().await([&] { return store.find("hn/streams/entry-1").has_value(); });
  store.restore(play.before());
  std::int64_t last_foreign = 0;
  while (last_foreign < foreign_leases) {
    last_foreign = store.grant_lease();
  }
  play.add_new_version();
  play.fixture().await([&] {
    std::ignore = play.fixture().call(make_stream("c"));
    return store.find("hn/streams/entry-1").has_value();
  });
  CPPUNIT_ASSERT(store.find("hn/streams/entry-1")->lease > last_foreign);
}

}  // namespace
}  // namespace hawthornnotch::test
