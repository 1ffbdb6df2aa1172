// Guards against streams that are refused, or go on at another version, since the entry VM at which
// they began was lost around a release.
#include <chrono>
#include <string>
#include <thread>
#include <tuple>
#include <utility>

#include "gateway_fixture.h"
#include "hawthornnotch/streams/origin_message.h"
#include "hawthornnotch/streams/origin_table.h"
#include "release_fleet.h"
#include "test_case.h"
#include "versioned_streams.h"

namespace hawthornnotch::test {
namespace {

// Guards against streams that are refused everywhere because their VM froze before it saw the
// second version (review case 4): all that began before a release began at the version before it.
TEST_THAT(resumed_stream, goes_on_if_its_entry_vm_froze_before_a_release) {
  release_fleet fleet;
  for (int number = 0; number < streams; ++number) {
    std::ignore = fleet.vm(0).call(make_stream("a" + std::to_string(number)));
  }
  fleet.freeze(0, milliseconds(6'000));
  fleet.begin_release(1);
  for (int number = 0; number < streams; ++number) {
    const std::string id = std::to_string(number);
    const auto answer = fleet.vm(1).call(make_resumption("b" + id, "a" + id));
    CPPUNIT_ASSERT(answer);
    CPPUNIT_ASSERT_EQUAL(200U, answer->status);
  }
  CPPUNIT_ASSERT_EQUAL(std::size_t{streams}, resumptions_at(fleet.old_server()));
}

// The VM of the stream freezes as soon as the first event has reached the caller.
TEST_THAT(resumed_stream,
          goes_on_at_the_new_version_if_its_entry_vm_freezes_after_the_first_event) {
  release_fleet fleet;
  fleet.begin_release(0);
  std::string begun_new;
  for (int number = 0; number < 3 * streams && begun_new.empty(); ++number) {
    const std::string id = "a" + std::to_string(number);
    std::ignore = fleet.vm(0).call(make_stream(id));
    begun_new = began_at(fleet.fresh(), id) ? id : "";
  }
  CPPUNIT_ASSERT(!begun_new.empty());
  fleet.freeze(0, milliseconds(2'000));
  const auto answer = fleet.vm(1).call(make_resumption("b", begun_new));
  CPPUNIT_ASSERT(answer);
  CPPUNIT_ASSERT_EQUAL(200U, answer->status);
  CPPUNIT_ASSERT(received_attempt(fleet.fresh(), "b"));
}

// VMs that restarted during the release do not know what they were told before.
TEST_THAT(resumed_stream, is_refused_if_most_vms_restarted_during_a_release) {
  release_fleet fleet;
  fleet.begin_release(0);
  std::this_thread::sleep_for(record_writing_time);
  fleet.restart(1);
  fleet.restart(2);
  expect_refused(fleet.vm(1), "lost");
}

// The VMs were lost before one of them could write for all that versions are mixed; their own
// records tell of it.
TEST_THAT(resumed_stream, is_refused_if_only_records_of_vms_tell_that_versions_were_mixed) {
  release_fleet fleet;
  fleet.begin_release(0);
  std::this_thread::sleep_for(record_writing_time);
  fleet.restart_all(R"({"versions":{"forecast":["v1"]},"streams":{}})");
  expect_refused(fleet.vm(1), "lost");
}

// Tells the VM of more streams than it remembers.
void overflow_origins(gateway_fixture& vm) {
  const std::size_t told = streams::origin_table_settings().max_per_workspace + 1;
  streams::origin_message message;
  for (std::size_t number = 0; number < told; ++number) {
    message.origins.push_back({{"zagreb", "other", std::to_string(number)}, "v1", {}});
  }
  http_request request{"POST", "/origins", {}, streams::encode(message)};
  const auto client = net::http_client::create(1);
  const auto answer = vm.runtime().await(client->fetch(vm.peers(), std::move(request), {}));
  CPPUNIT_ASSERT(answer);
  CPPUNIT_ASSERT_EQUAL(200U, answer->status);
}

// VMs that had no room for all that they were told can't know that a stream was not among it.
TEST_THAT(resumed_stream, is_refused_if_most_vms_dropped_origins) {
  release_fleet fleet;
  fleet.begin_release(0);
  overflow_origins(fleet.vm(1));
  overflow_origins(fleet.vm(2));
  expect_refused(fleet.vm(1), "lost");
}

}  // namespace
}  // namespace hawthornnotch::test
