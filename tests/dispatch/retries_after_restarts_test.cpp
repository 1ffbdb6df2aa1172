// Guards against retries beyond the fleet's budget when processes restart: what a process had spent
// was forgotten with it.
#include "budget_fleet.h"
#include "soak_seeds.h"
#include "test_case.h"

namespace hawthornnotch::dispatch {
namespace {

using namespace literals;

constexpr duration warm_up{25'000};
constexpr duration restart_time{700};

budget_fleet::settings small_fleet() {
  budget_fleet::settings out;
  out.budget.slack = 52;
  return out;
}

budget_fleet::settings large_fleet() {
  budget_fleet::settings out;
  out.vms = 295;
  out.domains = 6;
  out.requests_per_s_per_vm = 5;
  out.budget.slack = 630;
  return out;
}

void assert_kept(const budget_fleet& fleet) {
  const budget_fleet::window_count worst = fleet.worst_window();
  CPPUNIT_ASSERT_MESSAGE(worst.text(), worst.excess <= 0);
}

// Retries are wanted only around the restart, so that each process spends all that it may.
void restart_all_after_spending(budget_fleet& fleet) {
  fleet.set_retries_wanted(false);
  fleet.run_for(warm_up);
  fleet.set_retries_wanted(true);
  fleet.run_for(2_s);
  fleet.kill_all(restart_time);
  fleet.run_for(12_s);
}

TEST_THAT(retry_budget, does_not_grant_the_slack_again_after_a_restart) {
  budget_fleet::settings what = small_fleet();
  what.budget.ratio = 0;
  budget_fleet fleet(what);
  restart_all_after_spending(fleet);
  assert_kept(fleet);
}

TEST_THAT(retry_budget, does_not_grant_earned_retries_again_after_a_restart) {
  budget_fleet::settings what = small_fleet();
  what.budget.slack = 0;
  // The rounding of each VM's count is small beside this many requests.
  what.requests_per_s_per_vm = 100;
  budget_fleet fleet(what);
  restart_all_after_spending(fleet);
  assert_kept(fleet);
}

TEST_THAT(retry_budget, holds_while_one_vm_after_another_restarts) {
  budget_fleet fleet(small_fleet());
  fleet.run_for(warm_up);
  for (std::size_t vm = 0; vm < fleet.size(); ++vm) {
    fleet.kill(vm, restart_time);
    fleet.run_for(1_s);
  }
  fleet.run_for(25_s);
  assert_kept(fleet);
}

TEST_THAT(retry_budget, holds_while_half_of_the_vms_restart_again_and_again) {
  budget_fleet fleet(small_fleet());
  fleet.run_for(warm_up);
  random_source random(7);
  for (int kill = 0; kill < 6; ++kill) {
    for (std::size_t vm = 0; vm < fleet.size(); ++vm) {
      if (random.below(2) == 0) {
        fleet.kill(vm, restart_time);
      }
    }
    fleet.run_for(1_s);
  }
  fleet.run_for(25_s);
  assert_kept(fleet);
}

TEST_THAT(retry_budget, holds_while_all_vms_restart_again_and_again) {
  budget_fleet fleet(small_fleet());
  fleet.run_for(warm_up);
  for (int kill = 0; kill < 4; ++kill) {
    fleet.kill_all(restart_time);
    fleet.run_for(2'500_ms);
  }
  fleet.run_for(25_s);
  assert_kept(fleet);
}

TEST_THAT(retry_budget, holds_when_half_of_the_vms_do_not_come_back) {
  budget_fleet::settings what = small_fleet();
  what.requests_per_s_per_vm = 60;
  budget_fleet fleet(what);
  fleet.run_for(warm_up);
  for (std::size_t vm = 0; vm < fleet.size(); vm += 2) {
    fleet.remove(vm);
  }
  fleet.run_for(25_s);
  assert_kept(fleet);
}

// Their callers come to the others, where their requests earn what has been spent.
TEST_THAT(retry_budget, holds_when_half_of_the_vms_end_after_they_have_spent_all) {
  budget_fleet::settings what = small_fleet();
  what.requests_per_s_per_vm = 60;
  budget_fleet fleet(what);
  fleet.set_retries_wanted(false);
  fleet.run_for(warm_up);
  fleet.set_retries_wanted(true);
  fleet.run_for(1_s);
  for (std::size_t vm = 0; vm < fleet.size(); vm += 2) {
    fleet.remove(vm);
  }
  fleet.run_for(12_s);
  assert_kept(fleet);
}

TEST_THAT(retry_budget, holds_while_vms_are_replaced_by_others) {
  budget_fleet fleet(small_fleet());
  fleet.run_for(warm_up);
  for (std::size_t vm = 0; vm < 6; ++vm) {
    fleet.remove(vm);
    fleet.add(vm % 4);
    fleet.run_for(1_s);
  }
  fleet.run_for(25_s);
  assert_kept(fleet);
}

TEST_THAT(retry_budget, holds_for_one_vm_that_restarts) {
  budget_fleet::settings what = small_fleet();
  what.vms = 1;
  what.domains = 1;
  what.requests_per_s_per_vm = 90;
  budget_fleet fleet(what);
  fleet.run_for(warm_up);
  fleet.kill(0, restart_time);
  fleet.run_for(25_s);
  assert_kept(fleet);
}

TEST_THAT(retry_budget, holds_while_hundreds_of_vms_restart_at_once) {
  budget_fleet fleet(large_fleet());
  fleet.run_for(warm_up);
  fleet.kill_all(restart_time);
  fleet.run_for(4_s);
  fleet.kill_all(restart_time);
  fleet.run_for(12_s);
  assert_kept(fleet);
}

TEST_THAT(retry_budget, holds_while_a_cut_off_failure_domain_restarts) {
  budget_fleet::settings what = small_fleet();
  what.budget.ratio = 0;
  what.vms = 8;
  budget_fleet fleet(what);
  fleet.run_for(warm_up);
  fleet.partition({0});
  fleet.run_for(1_s);
  fleet.kill(0, restart_time);
  fleet.kill(4, restart_time);
  fleet.run_for(40_s);
  assert_kept(fleet);
}

TEST_THAT(retry_budget, holds_in_a_cut_longer_than_peers_are_remembered) {
  budget_fleet::settings what = small_fleet();
  what.budget.ratio = 0;
  budget_fleet fleet(what);
  fleet.run_for(warm_up);
  fleet.partition({0, 1});
  fleet.run_for(90_s);
  assert_kept(fleet);
}

// No retry is given up while no process restarts.
TEST_THAT(retry_budget, is_used_to_four_fifths_while_no_vm_restarts) {
  constexpr double expected = 0.78;
  budget_fleet fleet(small_fleet());
  fleet.run_for(60_s);
  const double used = fleet.used_fraction(40_s);
  CPPUNIT_ASSERT_MESSAGE(std::to_string(used), used >= expected);
  assert_kept(fleet);
}

// Kills, freezes, cuts, VMs that leave and join, in series and together.
void soak(std::uint64_t seed) {
  random_source random(seed);
  budget_fleet::settings what = random.below(8) == 0 ? large_fleet() : small_fleet();
  if (what.vms == small_fleet().vms) {
    what.vms = 1 + random.below(16);
    what.domains = std::min(what.vms, what.domains);
    what.requests_per_s_per_vm = 5 + 40 * random.unit();
  }
  what.seed = seed;
  budget_fleet fleet(what);
  fleet.run_for(warm_up);
  for (int event = 0; event < 12; ++event) {
    const std::size_t vm = random.below(fleet.size());
    const duration span{static_cast<std::int64_t>(300 + random.below(4'000))};
    switch (random.below(7)) {
      case 0:
        fleet.kill_all(span);
        break;
      case 1:
        for (std::size_t each = 0; each < fleet.size(); each += 2) {
          fleet.kill(each, span);
        }
        break;
      case 2:
      case 3:
        fleet.kill(vm, span);
        break;
      case 4:
        fleet.freeze(vm, span);
        break;
      case 5:
        fleet.partition({random.below(what.domains)});
        break;
      default:
        fleet.partition({});
        break;
    }
    fleet.run_for({static_cast<std::int64_t>(100 + random.below(3'000))});
  }
  fleet.run_for(15_s);
  const budget_fleet::window_count worst = fleet.worst_window();
  CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed) + ": " + worst.text(), worst.excess <= 0);
}

TEST_THAT(retry_budget, holds_in_series_of_kills_freezes_and_cuts) {
  for (std::uint64_t seed = 1; seed <= test::seeds_to_run(); ++seed) {
    soak(seed);
  }
}

}  // namespace
}  // namespace hawthornnotch::dispatch
