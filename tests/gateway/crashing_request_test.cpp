// One request comes again and again, and crashes every backend server that runs it.
#include <chrono>
#include <string>
#include <thread>
#include <tuple>

#include "crash_fixture.h"
#include "test_case.h"

namespace hawthornnotch::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr std::string_view deadly_body = "deadly";

// The bound of the platform's rule: the request may reach servers this often later than
// `settle_time` after the third crash.
constexpr std::size_t crashes_before = 3;
constexpr milliseconds settle_time{3'000};
constexpr std::size_t allowed_after = 3;

bool is_deadly(const http_request& request) { return request.body == deadly_body; }

http_request make_bodied(const std::string& path, const std::string& id, std::string body) {
  http_request request = make_request("POST", path, id);
  request.body = std::move(body);
  return request;
}

// Sends the request and sound ones on the same path to all VMs in turn.
void expect_crashes_bounded(std::size_t vms, const std::string& service, const std::string& path) {
  constexpr milliseconds load_time{7'000};
  constexpr milliseconds pause{60};
  crash_fixture fleet({vms, service, is_deadly, {}});
  std::size_t sent = 0;
  std::size_t served = 0;
  const auto end = steady_clock::now() + load_time;
  while (steady_clock::now() < end) {
    gateway_fixture& vm = fleet.vm(++sent);
    const std::string id = std::to_string(sent);
    std::ignore = vm.call(make_bodied(path, "d" + id, std::string(deadly_body)));
    fleet.replace_crashed();
    const auto answer = vm.call(make_bodied(path, "s" + id, "sound " + id));
    served += answer && answer->status == 200 ? 1 : 0;
    std::this_thread::sleep_for(pause);
  }
  const std::size_t after = fleet.arrivals_after(crashes_before, settle_time);
  CPPUNIT_ASSERT_MESSAGE(
      std::to_string(after) + " arrivals, " + std::to_string(fleet.crashes()) + " crashes in all",
      after <= allowed_after);
  CPPUNIT_ASSERT(fleet.crashes() >= crashes_before);
  CPPUNIT_ASSERT_MESSAGE(std::to_string(served) + " of " + std::to_string(sent) + " sound served",
                         served * 10 >= sent * 9);
}

TEST_THAT(crashing_request, does_not_reach_servers_again_after_three_crashes_at_one_entry_vm) {
  expect_crashes_bounded(1, "forecast", "/draft/");
}

TEST_THAT(crashing_request, does_not_reach_servers_again_after_three_crashes_at_six_entry_vms) {
  expect_crashes_bounded(6, "forecast", "/draft/");
}

TEST_THAT(crashing_request, does_not_reach_plain_servers_again_after_three_crashes) {
  expect_crashes_bounded(6, "stations", "/order/");
}

}  // namespace
}  // namespace hawthornnotch::test
