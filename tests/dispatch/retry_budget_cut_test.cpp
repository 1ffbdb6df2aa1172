// The retry budget of a service is one sum over all entry VMs.
#include <vector>

#include "hawthornnotch/dispatch/retry_budget.h"
#include "hawthornnotch/relay/peer_set.h"
#include "test_case.h"

namespace hawthornnotch::dispatch {
namespace {

using namespace literals;

relay::peer make_vm(std::size_t number) {
  relay::peer about;
  about.vm = "entry-" + std::to_string(number);
  about.address = {"10.0.0.1", static_cast<std::uint16_t>(8'000 + number)};
  about.incarnation = "1";
  about.heartbeat = 1;
  return about;
}

// Six VMs knew each other; then each half hears only of itself for longer than the heartbeat
// timeout, and all servers fail.
TEST_THAT(retry_budget, holds_for_the_sum_on_both_sides_of_a_cut) {
  constexpr std::size_t vms = 6;
  constexpr int attempts = 200;
  const time_point known_at{100'000};
  const time_point cut = known_at + 5_s;
  retry_budget_settings settings;
  settings.slack = 52;
  int retries = 0;
  for (std::size_t vm = 0; vm < vms; ++vm) {
    relay::peer_set peers(make_vm(vm), {}, {});
    for (std::size_t other = 0; other < vms; ++other) {
      const bool same_side = (vm < vms / 2) == (other < vms / 2);
      relay::exchange_message message;
      message.from = make_vm(other);
      peers.merge_message(message, same_side ? cut : known_at);
    }
    retry_budget budget(settings, time_point{0});
    for (int attempt = 0; attempt < attempts; ++attempt) {
      retries += budget.take("forecast", {peers.member_count(), peers.disrupted_at()}, cut).allowed
                     ? 1
                     : 0;
    }
  }
  CPPUNIT_ASSERT_MESSAGE(std::to_string(retries) + " retries", retries <= 52);
}

// It may have started while it was cut off from all others.
TEST_THAT(retry_budget, grants_no_slack_to_a_vm_that_has_heard_of_nobody) {
  const time_point started{100'000};
  const time_point later = started + 60_s;
  const relay::peer self = make_vm(0);
  const relay::peer_set cut_off(self, {make_vm(1).address}, {});
  const relay::peer_set only_vm(self, {self.address}, {});
  retry_budget budget({.slack = 52}, started);
  const bool cut_off_allowed =
      budget.take("forecast", {cut_off.member_count(), std::nullopt}, later).allowed;
  const bool only_vm_allowed =
      budget.take("forecast", {only_vm.member_count(), std::nullopt}, later).allowed;
  CPPUNIT_ASSERT(!cut_off_allowed);
  CPPUNIT_ASSERT(only_vm_allowed);
}

}  // namespace
}  // namespace hawthornnotch::dispatch
