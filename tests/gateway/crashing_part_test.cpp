// Requests with one prompt part crash every backend server that begins to answer them.
#include <chrono>
#include <tuple>

#include "crash_fixture.h"
#include "recording_peer.h"
#include "test_case.h"

namespace hawthornnotch::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr std::string_view crashing_part = "dead";

// The bound of the platform's rule: this many requests with the part may reach servers later than
// `settle_time` after the fifth crash.
constexpr std::size_t crashes_before = 5;
constexpr milliseconds settle_time{3'000};
constexpr std::size_t allowed_after = 3;

bool has_crashing_part(const http_request& request) {
  return request.header("X-Prompt-Prefix").value_or("").find(crashing_part) != std::string::npos;
}

crash_fixture::options options_for(std::size_t vms, std::vector<endpoint> seeds = {}) {
  return {vms, "forecast", has_crashing_part, std::move(seeds)};
}

http_request make_prompt(const std::string& id, const std::string& shared_parts) {
  http_request request = make_request("POST", "/draft/", id);
  request.headers.emplace_back("X-Prompt-Prefix", shared_parts + ",ee" + id + ":30");
  return request;
}

// Sends such requests and sound ones with the same first part to all VMs in turn.
void expect_crashes_bounded(std::size_t vms) {
  constexpr milliseconds load_time{9'000};
  constexpr milliseconds pause{60};
  crash_fixture fleet(options_for(vms));
  std::size_t sent = 0;
  std::size_t served = 0;
  const auto end = steady_clock::now() + load_time;
  while (steady_clock::now() < end) {
    gateway_fixture& vm = fleet.vm(++sent);
    const std::string id = std::to_string(1'000 + sent);
    std::ignore = vm.call(make_prompt(id, "aa:100,dead:50"));
    fleet.replace_crashed();
    const auto answer = vm.call(make_prompt("5" + id, "aa:100"));
    served += answer && answer->status == 200 ? 1 : 0;
    std::this_thread::sleep_for(pause);
  }
  const std::size_t after = fleet.arrivals_after(crashes_before, settle_time);
  CPPUNIT_ASSERT_MESSAGE(
      std::to_string(after) + " requests, " + std::to_string(fleet.crashes()) + " crashes in all",
      after <= allowed_after);
  CPPUNIT_ASSERT(fleet.crashes() >= crashes_before - 1);
  CPPUNIT_ASSERT_MESSAGE(std::to_string(served) + " of " + std::to_string(sent) + " sound served",
                         served * 10 >= sent * 9);
}

TEST_THAT(crashing_part, does_not_reach_servers_again_after_five_crashes_at_one_entry_vm) {
  expect_crashes_bounded(1);
}

TEST_THAT(crashing_part, does_not_reach_servers_again_after_five_crashes_at_six_entry_vms) {
  expect_crashes_bounded(6);
}

TEST_THAT(crashing_part, is_answered_at_once_as_not_executed_with_retry_after) {
  crash_fixture fleet(options_for(1));
  gateway_fixture& vm = fleet.vm(0);
  std::size_t sent = 0;
  http_response answer;
  vm.await([&] {
    answer = vm.expect_response(make_prompt(std::to_string(1'000 + ++sent), "aa:100,dead:50"));
    fleet.replace_crashed();
    std::ignore = vm.call(make_prompt(std::to_string(5'000 + sent), "aa:100"));
    std::this_thread::sleep_for(milliseconds(200));
    return answer.status == 503;
  });
  const std::size_t before = fleet.crashes();
  const auto begin = steady_clock::now();
  answer = vm.expect_response(make_prompt("9000", "bb:100,dead:50"));
  CPPUNIT_ASSERT(steady_clock::now() - begin < milliseconds(1'000));
  CPPUNIT_ASSERT_EQUAL(503U, answer.status);
  CPPUNIT_ASSERT_EQUAL(std::string(R"({"error":"quarantined"})"), answer.body);
  CPPUNIT_ASSERT(answer.header("Retry-After").has_value());
  CPPUNIT_ASSERT_EQUAL(before, fleet.crashes());
  CPPUNIT_ASSERT_EQUAL(1.0, *vm.metric("hawthornnotch_quarantined"));
}

// Such a process rejects messages with fields that it does not know, and reads only the first line
// that announces features.
TEST_THAT(crashing_part, is_not_gossiped_to_a_process_of_an_earlier_release) {
  loopback_runtime runtime;
  recording_peer earlier(runtime);
  crash_fixture fleet(options_for(1, {earlier.address()}));
  gateway_fixture& vm = fleet.vm(0);
  for (int number = 0; number < 4; ++number) {
    std::ignore = vm.call(make_prompt(std::to_string(1'000 + number), "aa:100,dead:50"));
  }
  const std::size_t before = earlier.received_messages().size();
  constexpr std::size_t further_messages = 4;
  vm.await([&] { return earlier.received_messages().size() >= before + further_messages; });
  CPPUNIT_ASSERT(*vm.metric("hawthornnotch_suspects") > 0);
  for (const relay::exchange_message& each : earlier.received_messages()) {
    CPPUNIT_ASSERT(each.suspicions.empty());
  }
  for (const http_request& each : earlier.received_requests()) {
    CPPUNIT_ASSERT(each.header("Exchange-Features") == "limits");
  }
}

// A message that is composed and not sent must not use up one of the few in which it is gossiped.
TEST_THAT(crashing_part, is_gossiped_in_each_message_that_it_was_taken_for) {
  constexpr std::size_t gossip_repeats = 4;
  loopback_runtime runtime;
  recording_peer peer(runtime, peer_knowledge::current);
  crash_fixture fleet(options_for(1, {peer.address()}));
  gateway_fixture& vm = fleet.vm(0);
  std::ignore = vm.call(make_prompt("1000", "aa:100,dead:50"));
  constexpr std::size_t further_messages = 14;
  const std::size_t before = peer.received_messages().size();
  vm.await([&] { return peer.received_messages().size() >= before + further_messages; });
  std::size_t with_suspicions = 0;
  for (const relay::exchange_message& each : peer.received_messages()) {
    with_suspicions += each.suspicions.empty() ? 0 : 1;
  }
  CPPUNIT_ASSERT_MESSAGE(std::to_string(with_suspicions) + " messages",
                         with_suspicions >= gossip_repeats);
}

// A closed connection alone is no crash.
TEST_THAT(crashing_part, is_not_seen_where_only_answers_are_lost) {
  gateway_fixture fixture;
  for (int index = 0; index < 8; ++index) {
    fixture.add_server("s" + std::to_string(index), "forecast", abort_connection);
  }
  fixture.start();
  constexpr int requests = 12;
  for (int number = 0; number < requests; ++number) {
    const auto answer = fixture.call(make_prompt(std::to_string(1'000 + number), "aa:100,bb:50"));
    CPPUNIT_ASSERT_EQUAL(502U, answer->status);
    std::this_thread::sleep_for(milliseconds(160));
  }
  CPPUNIT_ASSERT_EQUAL(0.0, *fixture.metric("hawthornnotch_suspects"));
}

}  // namespace
}  // namespace hawthornnotch::test
