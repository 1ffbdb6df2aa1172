// The sum over all entry VMs of requests to a server that names a limit, on a stepped clock.
#include "hawthornnotch/dispatch/server_limits.h"

#include <algorithm>
#include <array>
#include <functional>
#include <set>
#include <tuple>

#include "limited_fleet.h"
#include "test_case.h"

namespace hawthornnotch::dispatch {
namespace {

constexpr std::array<std::size_t, 5> fleet_sizes = {1, 8, 30, 91, 295};
constexpr std::array<std::int64_t, 6> rates_milli = {500, 1'000, 1'300, 4'000, 7'700, 20'000};
void expect_kept(const limited_fleet& fleet, request_rate rate, time_point from = {}) {
  const std::size_t worst = fleet.worst_window(from);
  CPPUNIT_ASSERT_MESSAGE(std::to_string(fleet.size()) + " VMs at " +
                             std::to_string(rate.per_second()) + "/s: " + std::to_string(worst) +
                             " requests, allowed " + std::to_string(allowed(rate)),
                         worst <= allowed(rate));
}

// Runs a scenario in fleets of all sizes and at all rates.
void for_each_fleet(const std::function<void(limited_fleet&, request_rate)>& scenario) {
  std::uint64_t seed = 0;
  for (const std::size_t vms : fleet_sizes) {
    for (const std::int64_t milli : rates_milli) {
      const request_rate rate{milli};
      limited_fleet fleet(vms, rate, ++seed);
      constexpr double demand_per_vm = 10;
      fleet.set_demand(demand_per_vm);
      fleet.run_for(1_s);
      fleet.name_limit();
      scenario(fleet, rate);
      expect_kept(fleet, rate);
    }
  }
}

TEST_THAT(server_limit, holds_for_the_sum_of_all_entry_vms_and_is_used_up) {
  for_each_fleet([](limited_fleet& fleet, request_rate rate) {
    fleet.run_for(5_s);
    const time_point from = fleet.now();
    constexpr std::int64_t seconds = 20;
    fleet.run_for(duration{seconds * 1'000});
    const double limit = rate.per_second() * static_cast<double>(seconds);
    const double wanted = 10.0 * static_cast<double>(fleet.size() * seconds);
    constexpr double used_share = 0.8;
    const std::size_t sent = fleet.sent_since(from);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(fleet.size()) + " VMs at " +
                               std::to_string(rate.per_second()) + "/s: " + std::to_string(sent) +
                               " sent",
                           static_cast<double>(sent) >= used_share * std::min(limit, wanted) - 1);
  });
}

TEST_THAT(server_limit, holds_in_bursts_after_silence) {
  for_each_fleet([](limited_fleet& fleet, request_rate) {
    fleet.run_for(1_s);
    for (int burst = 0; burst < 3; ++burst) {
      fleet.set_demand(0);
      fleet.run_for(8_s);
      fleet.set_demand(50);
      fleet.run_for(5_s);
    }
  });
}

TEST_THAT(server_limit, holds_while_entry_vms_restart) {
  for_each_fleet([](limited_fleet& fleet, request_rate) {
    for (std::size_t round = 0; round < 10; ++round) {
      fleet.run_for(1_s);
      const std::size_t vm = round % fleet.size();
      fleet.stop(vm);
      fleet.run_for(1_s);
      fleet.restart(vm);
    }
  });
}

TEST_THAT(server_limit, holds_while_fleet_clocks_differ) {
  for_each_fleet([](limited_fleet& fleet, request_rate) {
    fleet.stop_gossip();
    for (std::size_t vm = 0; vm < fleet.size(); vm += 2) {
      fleet.advance_clock(vm, 800_ms);
    }
    fleet.run_for(20_s);
  });
}

TEST_THAT(server_limit, holds_after_it_changes_and_ends_after_it_ends) {
  for_each_fleet([](limited_fleet& fleet, request_rate rate) {
    fleet.run_for(6_s);
    const request_rate lower{rate.milli_per_s / 2};
    fleet.set_rate(lower);
    constexpr duration notice_time{8'000};
    fleet.run_for(notice_time);
    const time_point from = fleet.now();
    fleet.run_for(12_s);
    expect_kept(fleet, lower, from);
    fleet.set_rate(std::nullopt);
    fleet.run_for(30_s);
    CPPUNIT_ASSERT_EQUAL(1.0, fleet.share_unlimited());
  });
}

// Every VM knows all but two others, different ones on each VM.
TEST_THAT(server_limit, holds_while_views_of_the_fleet_differ) {
  for_each_fleet([](limited_fleet& fleet, request_rate) {
    const std::size_t vms = fleet.size();
    if (vms > 4) {
      for (std::size_t vm = 0; vm < vms; ++vm) {
        std::set<std::size_t> others;
        for (std::size_t other = 0; other < vms; ++other) {
          const bool hidden = other == (vm + 1) % vms || other == (vm + 2) % vms;
          if (other != vm && !hidden) {
            others.insert(other);
          }
        }
        fleet.set_view(vm, std::move(others));
      }
    }
    fleet.run_for(20_s);
  });
}

// A VM that nobody knew and that knows one other at first.  All know it when it begins to take
// part.
TEST_THAT(server_limit, holds_while_an_entry_vm_joins) {
  for_each_fleet([](limited_fleet& fleet, request_rate) {
    const std::size_t vms = fleet.size();
    const auto all_others = [&](std::size_t vm, std::size_t first) {
      std::set<std::size_t> others;
      for (std::size_t other = first; other < vms; ++other) {
        others.insert(other);
      }
      others.erase(vm);
      return others;
    };
    fleet.stop(0);
    for (std::size_t vm = 1; vm < vms; ++vm) {
      fleet.set_view(vm, all_others(vm, 1));
    }
    fleet.run_for(8_s);
    fleet.set_view(0, vms > 1 ? std::set<std::size_t>{1} : std::set<std::size_t>{});
    fleet.restart(0);
    fleet.run_for(2_s);
    for (std::size_t vm = 0; vm < vms; ++vm) {
      fleet.set_view(vm, all_others(vm, 0));
    }
    fleet.run_for(10_s);
  });
}

TEST_THAT(server_limit, ends_with_the_first_answer_that_names_none) {
  server_limits limits;
  const server_incarnation server{"s1", 1};
  const time_point now{100'000};
  limits.start("entry-1", now);
  std::ignore = limits.record_answer(server, servers::limited_to{{1'000}}, now, now + 5_ms);
  CPPUNIT_ASSERT(limits.find(server, now + 5_ms).has_value());
  const auto change =
      limits.record_answer(server, servers::not_limited{}, now + 10_ms, now + 12_ms);
  CPPUNIT_ASSERT(change && !change->now);
  CPPUNIT_ASSERT(!limits.find(server, now + 12_ms).has_value());
  CPPUNIT_ASSERT(limits.take(server, now + 12_ms) == permit::unlimited);
}

TEST_THAT(server_limit, is_neither_ended_nor_raised_by_an_answer_to_an_earlier_request) {
  server_limits limits;
  const server_incarnation server{"s1", 1};
  const time_point now{100'000};
  limits.start("entry-1", now);
  std::ignore = limits.record_answer(server, servers::limited_to{{1'000}}, now, now + 50_ms);
  CPPUNIT_ASSERT(!limits.record_answer(server, servers::not_limited{}, now + 40_ms, now + 60_ms));
  CPPUNIT_ASSERT(
      !limits.record_answer(server, servers::limited_to{{9'000}}, now + 40_ms, now + 60_ms));
  const auto lowered =
      limits.record_answer(server, servers::limited_to{{500}}, now + 40_ms, now + 60_ms);
  CPPUNIT_ASSERT(lowered && lowered->now == request_rate{500});
}

TEST_THAT(server_limit, does_not_apply_to_another_process_at_the_address) {
  server_limits limits;
  const time_point now{100'000};
  limits.start("entry-1", now);
  std::ignore = limits.record_answer({"s1", 1}, servers::limited_to{{1'000}}, now, now);
  CPPUNIT_ASSERT(limits.take({"s1", 2}, now) == permit::unlimited);
  CPPUNIT_ASSERT(limits.take({"s1", 1}, now) == permit::none);
}

TEST_THAT(server_limit, is_clamped_so_that_its_end_is_noticed) {
  server_limits limits;
  const server_incarnation server{"s1", 1};
  time_point now{100'000};
  limits.start("entry-1", now);
  std::ignore = limits.record_answer(server, servers::limited_to{{0}}, now, now);
  std::size_t sent = 0;
  for (const time_point end = now + 60_s; now < end; now = now + 100_ms) {
    sent += limits.take(server, now) == permit::taken ? 1 : 0;
  }
  CPPUNIT_ASSERT(sent >= 3 && sent <= 7);
}

TEST_THAT(server_limit, reaches_other_entry_vms_and_so_does_its_end) {
  const server_incarnation server{"s1", 1};
  time_point now{100'000};
  server_limits first;
  server_limits second;
  first.start("entry-1", now);
  second.start("entry-2", now);
  const auto tell = [&](server_limits& from, server_limits& to) {
    for (const servers::rate_limit& each : from.limits_to_gossip(limits_per_message)) {
      std::ignore = to.record_peer(each, now);
    }
  };
  std::ignore = first.record_answer(server, servers::limited_to{{2'000}}, now, now);
  tell(first, second);
  CPPUNIT_ASSERT(second.find(server, now)->rate == request_rate{2'000});
  now = now + 1_s;
  std::ignore = second.record_answer(server, servers::not_limited{}, now, now + 1_ms);
  // The older report of the first VM does not bring the limit back.
  tell(first, second);
  CPPUNIT_ASSERT(!second.find(server, now).has_value());
  tell(second, first);
  CPPUNIT_ASSERT(!first.find(server, now).has_value());
}

TEST_THAT(server_limit, of_many_servers_is_gossiped_in_turn) {
  server_limits limits;
  const time_point now{100'000};
  limits.start("entry-1", now);
  constexpr std::size_t servers = 20;
  for (std::size_t number = 0; number < servers; ++number) {
    const std::string id = "s" + std::to_string(number);
    std::ignore = limits.record_answer({id, 1}, servers::limited_to{{1'000}}, now, now);
  }
  std::set<std::string> seen;
  for (int message = 0; message < 3; ++message) {
    const auto sample = limits.limits_to_gossip(limits_per_message);
    CPPUNIT_ASSERT_EQUAL(std::size_t{8}, sample.size());
    for (const servers::rate_limit& each : sample) {
      seen.insert(each.server);
    }
  }
  CPPUNIT_ASSERT_EQUAL(servers, seen.size());
}

TEST_THAT(server_limit, outlasts_the_entry_of_its_server_in_the_list_for_a_time) {
  server_limits limits;
  const server_incarnation server{"s1", 1};
  const time_point now{100'000};
  limits.start("entry-1", now);
  std::ignore = limits.record_answer(server, servers::limited_to{{1'000}}, now, now);
  const auto unlisted = [](std::string_view) { return false; };
  limits.drop_expired(unlisted, now + 59_s);
  CPPUNIT_ASSERT(limits.find(server, now + 59_s).has_value());
  limits.drop_expired(unlisted, now + 61_s);
  CPPUNIT_ASSERT(!limits.find(server, now + 61_s).has_value());
}

}  // namespace
}  // namespace hawthornnotch::dispatch
