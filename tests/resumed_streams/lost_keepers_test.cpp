// Guards against streams that are refused, or go on at another version, since most entry VMs were
// lost around a release.
#include <array>
#include <boost/asio/post.hpp>
#include <chrono>
#include <cstddef>
#include <string>
#include <thread>
#include <tuple>

#include "gateway_fixture.h"
#include "hawthornnotch/streams/version_shares.h"
#include "release_fleet.h"
#include "test_case.h"
#include "versioned_streams.h"

namespace hawthornnotch::test {
namespace {

// Began nowhere; two of its three keepers are among the VMs that are lost.
constexpr const char* unknown_stream = "unknown-0";
constexpr std::size_t vms = 6;
constexpr std::size_t lost_vms = 4;
// Longer than a release and the resumptions after it.
constexpr milliseconds freeze_time{8'000};

// Six entry VMs with one store; one version serves at first.
class large_release_fleet {
 public:
  large_release_fleet() {
    old_server_ = &add_versioned(vm(0), "old", "v1", break_off_first);
    fresh_ = &vm(0).add_server("new", "other", break_off_first);
    vm(0).start_without_retries();
    for (std::size_t number = 1; number < vms; ++number) {
      vm(number).share_store_of(vm(0));
      vm(number).start_vm("entry-" + std::to_string(number + 1), {vm(0).peers()});
    }
    for (gateway_fixture& each : fleet_) {
      each.await([&] { return each.metric("hawthornnotch_live_entry_vms") == double{vms}; });
    }
    std::this_thread::sleep_for(list_reading_time);
  }
  gateway_fixture& vm(std::size_t number) { return fleet_.at(number); }
  fake_store& store() { return vm(0).store(); }
  fake_server& old_server() { return *old_server_; }
  void list_new_version() { list_version(vm(0), "new", fresh_->address(), "v2"); }
  void begin_release() {
    list_new_version();
    std::this_thread::sleep_for(list_reading_time);
  }
  // Stops all that most VMs do, as if they had lost power.
  void lose_most() {
    for (std::size_t number = 0; number < lost_vms; ++number) {
      boost::asio::post(vm(number).gateway().executor(),
                        [] { std::this_thread::sleep_for(freeze_time); });
    }
  }
  // \returns the status of the answer to a resumption at a VM that is left.
  unsigned resume(const std::string& id, const std::string& resumed) {
    const auto answer =
        vm(lost_vms + id.size() % (vms - lost_vms)).call(make_resumption(id, resumed));
    CPPUNIT_ASSERT(answer);
    return answer->status;
  }

 private:
  std::array<gateway_fixture, vms> fleet_;
  fake_server* old_server_ = nullptr;
  fake_server* fresh_ = nullptr;
};

// Review case 9: two of three keepers of most streams are lost, and the VMs that began them.
TEST_THAT(resumed_stream, goes_on_if_most_entry_vms_were_lost_before_a_release) {
  constexpr std::size_t lost_streams = 5;
  large_release_fleet fleet;
  for (std::size_t number = 0; number < lost_streams; ++number) {
    std::ignore = fleet.vm(number % lost_vms).call(make_stream("a" + std::to_string(number)));
  }
  fleet.lose_most();
  fleet.begin_release();
  for (std::size_t number = 0; number < lost_streams; ++number) {
    const std::string id(number + 1, 'b');
    CPPUNIT_ASSERT_EQUAL(200U, fleet.resume(id, "a" + std::to_string(number)));
  }
  CPPUNIT_ASSERT_EQUAL(lost_streams, resumptions_at(fleet.old_server()));
}

// A VM of the build before declares no rule, so it may have begun the stream at the newer version.
// Once it is back, it tells.
TEST_THAT(resumed_stream, is_refused_while_a_vm_is_lost_that_may_have_begun_it_at_a_newer_version) {
  large_release_fleet fleet;
  fleet.begin_release();
  std::this_thread::sleep_for(record_writing_time);
  fleet.lose_most();
  fleet.store().put("hn/streams/entry-2", R"({"versions":{"forecast":["v1","v2"]},"streams":{}})");
  CPPUNIT_ASSERT_EQUAL(503U, fleet.resume("b", unknown_stream));
  CPPUNIT_ASSERT_EQUAL(std::size_t{0}, resumptions_at(fleet.old_server()));
  fleet.vm(lost_vms).await([&] { return fleet.resume("c", unknown_stream) == 200U; });
}

// A record that can't be read is no proof that its VM declared nothing.
TEST_THAT(resumed_stream, is_refused_while_a_lost_vm_has_an_unreadable_record) {
  large_release_fleet fleet;
  fleet.begin_release();
  std::this_thread::sleep_for(record_writing_time);
  fleet.lose_most();
  fleet.store().put("hn/streams/entry-2", "unreadable");
  // All other records name the base version for it.
  const auto shares = streams::version_shares::create({{"v1", 1}, {"v2", 1}});
  std::string unknown = unknown_stream;
  while (shares->version_for(unknown) != "v1") {
    unknown += "0";
  }
  CPPUNIT_ASSERT_EQUAL(503U, fleet.resume("b", unknown));
  CPPUNIT_ASSERT_EQUAL(std::size_t{0}, resumptions_at(fleet.old_server()));
}

// The rule that each of the lost VMs declared names one version for the stream: it needs no VM
// back.
TEST_THAT(resumed_stream, goes_on_while_vms_are_lost_whose_rules_name_its_version) {
  large_release_fleet fleet;
  fleet.begin_release();
  std::this_thread::sleep_for(record_writing_time);
  fleet.lose_most();
  const auto shares = streams::version_shares::create({{"v1", 1}, {"v2", 1}});
  for (const char* id : {"a", "aa", "aaa", "aaaa", "aaaaa", "aaaaaa"}) {
    const std::string resumed = std::string("b") + id;
    CPPUNIT_ASSERT_EQUAL(200U, fleet.resume(resumed, id));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(id, shares->version_for(id) == "v1",
                                 received_attempt(fleet.old_server(), resumed));
  }
}

// The declarations of the lost VMs are not in the copy from which the store came back.
TEST_THAT(resumed_stream, is_refused_if_a_restore_took_the_declarations_of_lost_vms) {
  large_release_fleet fleet;
  const fake_store::snapshot copy = fleet.store().take_snapshot();
  fleet.begin_release();
  std::this_thread::sleep_for(record_writing_time);
  fleet.lose_most();
  fleet.store().restore(copy);
  fleet.begin_release();
  CPPUNIT_ASSERT_EQUAL(503U, fleet.resume("b", unknown_stream));
  CPPUNIT_ASSERT_EQUAL(std::size_t{0}, resumptions_at(fleet.old_server()));
}

}  // namespace
}  // namespace hawthornnotch::test
