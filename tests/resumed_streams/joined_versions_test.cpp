// Guards against streams that go on at another software version than the one that began them.
#include <algorithm>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <tuple>
#include <vector>

#include "gateway_fixture.h"
#include "test_case.h"
#include "versioned_streams.h"

namespace hawthornnotch::test {
namespace {

// A list of this age may lack a version in service.
constexpr milliseconds old_list_age{4'500};
// A server of another version starts while the stream runs, and the stream's own server fails.
TEST_THAT(resumed_stream, goes_on_at_its_version_within_one_answer) {
  gateway_fixture fixture;
  fake_server& fresh = fixture.add_server("new", "stations", stream_four);
  add_versioned(fixture, "old", "v1",
                [&](const http_request& request,
                    net::response_writer& writer) -> boost::asio::awaitable<void> {
                  co_await stream_two(request, writer);
                  list_version(fixture, "new", fresh.address(), "v2");
                  boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor,
                                                  list_reading_time);
                  co_await timer.async_wait(boost::asio::use_awaitable);
                  writer.abort();
                });
  fixture.start();
  std::ignore = fixture.call(make_stream("a"));
  CPPUNIT_ASSERT_EQUAL(std::size_t{0}, resumptions_at(fresh));
}

// Two entry VMs; streams begin at the first and are taken up at the second.
struct two_vms {
  two_vms() {
    old_1 = &add_versioned(first, "old-1", "v1", stream_two_and_abort);
    old_2 = &add_versioned(first, "old-2", "v1", stream_four);
    fresh = &add_versioned(first, "new-1", "v2", stream_four);
    list_at_second();
    first.start();
    second.start({first.peers()});
    first.await([&] { return first.metric("hawthornnotch_live_entry_vms") == 2.0; });
  }
  void list_at_second() {
    list_version(second, "old-1", old_1->address(), "v1");
    list_version(second, "old-2", old_2->address(), "v1");
    list_version(second, "new-1", fresh->address(), "v2");
  }
  gateway_fixture first;
  gateway_fixture second;
  fake_server* old_1 = nullptr;
  fake_server* old_2 = nullptr;
  fake_server* fresh = nullptr;
};

TEST_THAT(resumed_stream, goes_on_at_its_version_at_another_entry_vm) {
  two_vms fleet;
  std::vector<std::string> begun_new;
  for (int number = 0; number < 3 * streams; ++number) {
    const std::string id = "a" + std::to_string(number);
    std::ignore = fleet.first.call(make_stream(id));
    if (began_at(*fleet.fresh, id)) {
      begun_new.push_back(id);
    }
  }
  CPPUNIT_ASSERT(!begun_new.empty());
  std::this_thread::sleep_for(milliseconds(200));
  for (const std::string& id : begun_new) {
    const auto answer = fleet.second.call(make_resumption("b" + id, id));
    CPPUNIT_ASSERT(answer);
    CPPUNIT_ASSERT_EQUAL(200U, answer->status);
  }
  CPPUNIT_ASSERT_EQUAL(begun_new.size(), resumptions_at(*fleet.fresh));
}

// Nobody knows where the stream began, and two versions serve.
TEST_THAT(resumed_stream, is_refused_if_its_version_is_unknown) {
  two_vms fleet;
  for (int number = 0; number < streams; ++number) {
    const std::string id = std::to_string(number);
    const auto answer = fleet.second.call(make_resumption("b" + id, "lost" + id));
    CPPUNIT_ASSERT(answer);
    CPPUNIT_ASSERT_EQUAL(503U, answer->status);
  }
  for (fake_server* server : {fleet.old_1, fleet.old_2, fleet.fresh}) {
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, resumptions_at(*server));
  }
}

TEST_THAT(resumed_stream, goes_on_without_any_record_while_one_version_serves) {
  gateway_fixture fixture;
  fake_server& only = add_versioned(fixture, "only", "v1", stream_four);
  fixture.start();
  const auto answer = fixture.call(make_resumption("b", "a"));
  CPPUNIT_ASSERT(answer);
  CPPUNIT_ASSERT_EQUAL(200U, answer->status);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, resumptions_at(only));
}

// Another version may have started since the list was read.
TEST_THAT(resumed_stream, is_refused_by_a_vm_that_is_cut_off_from_the_list_and_its_peers) {
  gateway_fixture cut_off;
  fake_server& server = add_versioned(cut_off, "s1", "v1", stream_four);
  {
    gateway_fixture peer;
    list_version(peer, "s1", server.address(), "v1");
    peer.start();
    cut_off.start({peer.peers()});
    cut_off.await([&] { return cut_off.metric("hawthornnotch_live_entry_vms") == 2.0; });
    CPPUNIT_ASSERT_EQUAL(200U, cut_off.call(make_resumption("b1", "a1"))->status);
  }
  cut_off.store().set_unavailable(true);
  std::this_thread::sleep_for(old_list_age);
  CPPUNIT_ASSERT_EQUAL(503U, cut_off.call(make_resumption("b2", "a2"))->status);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, resumptions_at(server));
}

// The stream may have begun at the other version, through a VM that knew of it sooner.
TEST_THAT(resumed_stream, is_refused_by_a_vm_whose_list_lacks_a_version_that_has_just_started) {
  gateway_fixture fixture;
  fake_server& old_server = add_versioned(fixture, "old", "v1", stream_four);
  fixture.start();
  std::this_thread::sleep_for(list_reading_time);
  add_versioned(fixture, "new", "v2", stream_four);
  const auto answer = fixture.call(make_resumption("b", "a"));
  CPPUNIT_ASSERT(answer);
  CPPUNIT_ASSERT_EQUAL(503U, answer->status);
  CPPUNIT_ASSERT_EQUAL(std::size_t{0}, resumptions_at(old_server));
}

TEST_THAT(resumed_stream, is_refused_at_once_if_no_server_of_its_version_is_left) {
  gateway_fixture fixture;
  fake_server& old_server = add_versioned(fixture, "old", "v1", stream_two_and_abort);
  fixture.start_without_retries();
  std::ignore = fixture.call(make_stream("a"));
  fake_server& fresh = add_versioned(fixture, "new", "v2", stream_four);
  fixture.store().erase("servers/" + old_server.id());
  fixture.await([&] {
    return fixture.call(make_stream("probe"))->status == 200 && !fresh.received().empty();
  });
  const auto answer = fixture.call(make_resumption("b", "a"));
  CPPUNIT_ASSERT(answer);
  CPPUNIT_ASSERT_EQUAL(503U, answer->status);
  CPPUNIT_ASSERT_EQUAL(std::size_t{0}, resumptions_at(fresh));
}

// All entry VMs are killed at once; only the platform's store remembers where the streams began.
TEST_THAT(resumed_stream, goes_on_at_its_version_after_a_restart_of_all) {
  gateway_fixture fixture;
  fake_server& old_server = add_versioned(fixture, "old", "v1", stream_two_and_abort);
  fake_server& fresh = add_versioned(fixture, "new", "v2", stream_two_and_abort);
  fixture.start_without_retries();
  for (int number = 0; number < streams; ++number) {
    std::ignore = fixture.call(make_stream("a" + std::to_string(number)));
  }
  std::this_thread::sleep_for(record_writing_time);
  fixture.restart();
  for (int number = 0; number < streams; ++number) {
    const std::string begun = "a" + std::to_string(number);
    const std::string resumed = "b" + std::to_string(number);
    std::ignore = fixture.call(make_resumption(resumed, begun));
    CPPUNIT_ASSERT_EQUAL(received_attempt(old_server, begun),
                         received_attempt(old_server, resumed));
    CPPUNIT_ASSERT_EQUAL(received_attempt(fresh, begun), received_attempt(fresh, resumed));
  }
}

// The streams began after the restart, when only the new version was left.
TEST_THAT(resumed_stream, goes_on_at_another_entry_vm_if_it_began_after_a_restart_of_all) {
  // More than a stream's keepers.
  constexpr std::size_t vms = 6;
  std::vector<std::unique_ptr<gateway_fixture>> fleet;
  for (std::size_t vm = 0; vm < vms; ++vm) {
    fleet.push_back(std::make_unique<gateway_fixture>());
  }
  gateway_fixture& first = *fleet.front();
  fake_server& old_server = add_versioned(first, "old", "v1", stream_two_and_abort);
  fake_server& fresh = add_versioned(first, "new", "v2", stream_two_and_abort);
  const auto all_known = [&] {
    for (const auto& vm : fleet) {
      vm->await([&] { return vm->metric("hawthornnotch_live_entry_vms") == double{vms}; });
    }
  };
  for (std::size_t vm = 0; vm < vms; ++vm) {
    list_version(*fleet[vm], "old", old_server.address(), "v1");
    list_version(*fleet[vm], "new", fresh.address(), "v2");
    fleet[vm]->start_vm("entry-" + std::to_string(vm),
                        vm == 0 ? std::vector<endpoint>{} : std::vector{first.peers()});
  }
  all_known();
  std::this_thread::sleep_for(list_reading_time);
  for (const auto& vm : fleet) {
    vm->store().erase("servers/old");
  }
  for (std::size_t vm = 0; vm < vms; ++vm) {
    fleet[vm]->restart(vm == 0 ? std::vector<endpoint>{} : std::vector{first.peers()});
  }
  all_known();
  std::this_thread::sleep_for(record_writing_time);
  for (int number = 0; number < streams; ++number) {
    std::ignore = first.call(make_stream("a" + std::to_string(number)));
  }
  std::this_thread::sleep_for(milliseconds(200));
  for (int number = 0; number < streams; ++number) {
    const std::string resumed = "b" + std::to_string(number);
    std::ignore = fleet.back()->call(make_resumption(resumed, "a" + std::to_string(number)));
    CPPUNIT_ASSERT_MESSAGE(resumed, received_attempt(fresh, resumed));
  }
}

// All entry VMs are killed at once, after the last server of the old version has left.
TEST_THAT(resumed_stream, is_refused_after_a_restart_of_all_if_an_old_version_has_just_left) {
  gateway_fixture fixture;
  fake_server& old_server = add_versioned(fixture, "old", "v1", stream_two_and_abort);
  fake_server& fresh = add_versioned(fixture, "new", "v2", stream_four);
  fixture.start();
  std::this_thread::sleep_for(list_reading_time);
  fixture.store().erase("servers/" + old_server.id());
  fixture.restart();
  const auto answer = fixture.call(make_resumption("b", "a"));
  CPPUNIT_ASSERT(answer);
  CPPUNIT_ASSERT_EQUAL(503U, answer->status);
  CPPUNIT_ASSERT_EQUAL(std::size_t{0}, resumptions_at(fresh));
}

}  // namespace
}  // namespace hawthornnotch::test
