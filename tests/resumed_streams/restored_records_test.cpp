// Guards against streams that go on at another software version because the platform's store came
// back from a copy while no entry VM ran, and lacks what they had recorded.
#include <cstddef>
#include <string>
#include <thread>
#include <tuple>
#include <vector>

#include "gateway_fixture.h"
#include "release_fleet.h"
#include "test_case.h"
#include "versioned_streams.h"

namespace hawthornnotch::test {
namespace {

// Time after which the servers are known to have registered again.
constexpr milliseconds registration_time{4'500};

constexpr const char* versions_key = "hn/streams/fleet/versions";

// \returns copies of the stores in which the record of versions names the old version alone.
std::vector<fake_store::snapshot> copies_before_release(release_fleet& fleet) {
  auto copies = fleet.copy_stores();
  for (fake_store::snapshot& each : copies) {
    each.items[versions_key].value = R"({"versions":{"forecast":["v1"]},"streams":{},"era":1})";
  }
  return copies;
}

// Review case 8: the copy names the old version alone, both versions are listed.
TEST_THAT(resumed_stream, is_refused_if_a_restored_store_lacks_the_version_that_began_it) {
  release_fleet fleet;
  const auto copies = copies_before_release(fleet);
  fleet.begin_release(0);
  const std::string begun = fleet.begin_at_new_version(0);
  fleet.lose_all_and_restore(copies, true);
  expect_refused(fleet.vm(1), begun);
  CPPUNIT_ASSERT_EQUAL(std::size_t{0}, resumptions_at(fleet.old_server()));
}

// The copy is from before the newer version's servers, and they have not registered again yet.
TEST_THAT(resumed_stream, is_refused_until_servers_register_again_with_a_restored_store) {
  release_fleet fleet;
  const auto copies = copies_before_release(fleet);
  fleet.begin_release(0);
  const std::string begun = fleet.begin_at_new_version(0);
  fleet.lose_all_and_restore(copies, false);
  expect_refused(fleet.vm(1), begun);
  CPPUNIT_ASSERT_EQUAL(std::size_t{0}, resumptions_at(fleet.old_server()));
}

// The copy is older than the first record of versions, too.
TEST_THAT(resumed_stream, is_refused_until_servers_register_again_if_no_record_is_left) {
  release_fleet fleet;
  auto copies = fleet.copy_stores();
  for (fake_store::snapshot& each : copies) {
    each.items.erase(versions_key);
  }
  fleet.begin_release(0);
  const std::string begun = fleet.begin_at_new_version(0);
  fleet.lose_all_and_restore(copies, false);
  expect_refused(fleet.vm(1), begun);
  CPPUNIT_ASSERT_EQUAL(std::size_t{0}, resumptions_at(fleet.old_server()));
}

// Where one version serves alone, a restore takes nothing from a stream once the list is whole.
TEST_THAT(resumed_stream, goes_on_with_a_restored_store_while_one_version_serves_alone) {
  release_fleet fleet;
  std::ignore = fleet.vm(0).call(make_stream("a"));
  fleet.lose_all_and_restore(copies_before_release(fleet), false);
  std::this_thread::sleep_for(registration_time);
  const auto answer = fleet.vm(1).call(make_resumption("b", "a"));
  CPPUNIT_ASSERT(answer);
  CPPUNIT_ASSERT_EQUAL(200U, answer->status);
}

// A VM that has not declared that versions are mixed could be lost without a trace of the streams
// that it began at the newer one.
TEST_THAT(new_stream, begins_at_the_version_before_a_release_until_its_vm_can_declare_another) {
  release_fleet fleet;
  fleet.vm(0).store().set_unavailable(true);
  fleet.begin_release(1);
  for (int number = 0; number < 3 * streams; ++number) {
    std::ignore = fleet.vm(0).call(make_stream("a" + std::to_string(number)));
  }
  CPPUNIT_ASSERT(fleet.fresh().received().empty());
  fleet.vm(0).store().set_unavailable(false);
  list_version(fleet.vm(0), "new", fleet.fresh().address(), "v2");
  std::this_thread::sleep_for(list_reading_time);
  std::ignore = fleet.begin_at_new_version(0);
}

// A process that starts does not take a record of an earlier era for the present.
TEST_THAT(version_record, names_the_era_of_the_store_in_which_it_is_whole) {
  gateway_fixture fixture;
  add_versioned(fixture, "old", "v1", stream_four);
  fixture.start();
  const auto names_era = [&](const std::string& era) {
    const auto record = fixture.store().find(versions_key);
    return record && record->value.find("\"era\":" + era) != std::string::npos;
  };
  fixture.await([&] { return names_era("1"); });
  fixture.store().restore(fixture.store().take_snapshot());
  fixture.await([&] { return names_era("2"); });
}

// Until all streams from before the restore are over, nobody knows what the records of that time
// held.
TEST_THAT(version_record, names_no_era_in_which_declarations_may_be_missing) {
  release_fleet fleet;
  const auto copies = copies_before_release(fleet);
  fleet.begin_release(0);
  fleet.lose_all_and_restore(copies, true);
  std::this_thread::sleep_for(registration_time);
  for (std::size_t number = 0; number < copies.size(); ++number) {
    const auto record = fleet.vm(number).store().find(versions_key);
    CPPUNIT_ASSERT(record);
    CPPUNIT_ASSERT(record->value.find("\"era\":2") == std::string::npos);
  }
}

}  // namespace
}  // namespace hawthornnotch::test
