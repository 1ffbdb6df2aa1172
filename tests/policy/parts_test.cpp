// The small parts of the policy, each on its own.
#include <algorithm>
#include <numeric>
#include <set>

#include "hawthornnotch/policy/candidate_set.h"
#include "hawthornnotch/policy/ejection.h"
#include "hawthornnotch/policy/length_model.h"
#include "hawthornnotch/policy/load_estimator.h"
#include "hawthornnotch/policy/peer_demand.h"
#include "hawthornnotch/policy/server_registry.h"
#include "hawthornnotch/policy/subset.h"
#include "hawthornnotch/policy/workspace_state.h"
#include "policy_case.h"
#include "test_case.h"

namespace hawthornnotch::policy {
namespace {

using namespace literals;

std::vector<std::string> names(const std::string& prefix, std::size_t count) {
  std::vector<std::string> made;
  for (std::size_t index = 0; index < count; ++index) {
    made.push_back(prefix + std::to_string(index));
  }
  return made;
}

TEST_THAT(length_model, plans_a_quantile_and_corrects_it_as_tokens_come) {
  length_model model(length_settings{});
  for (int count = 0; count < 80; ++count) {
    model.add(30);
  }
  for (int count = 0; count < 20; ++count) {
    model.add(800);
  }
  CPPUNIT_ASSERT(model.planned(0) <= 1024);
  CPPUNIT_ASSERT(model.planned(0) >= 30);
  CPPUNIT_ASSERT(model.planned(100) >= 800);
  CPPUNIT_ASSERT(model.planned(5000) > 5000);
}

TEST_THAT(load_estimator, leaves_own_requests_at_the_time_of_the_report_out) {
  load_estimator load(3_s);
  load.on_own(4, {1'000});
  load.on_own(1, {2'000});
  load.on_report(6, {1'500});
  CPPUNIT_ASSERT_DOUBLES_EQUAL(2.0, load.peer_in_flight({1'500}), 0.01);
  load.on_report(9, {1'400});
  CPPUNIT_ASSERT_DOUBLES_EQUAL(2.0, load.peer_in_flight({1'500}), 0.01);
}

TEST_THAT(ejection, doubles_its_time_and_lets_one_probe_through) {
  ejection outlier((ejection_settings()));
  outlier.on_failure({1'000});
  CPPUNIT_ASSERT_EQUAL(ejection::no_cap, outlier.cap(8, {1'000}));
  outlier.on_failure({1'000});
  CPPUNIT_ASSERT_EQUAL(0U, outlier.cap(8, {1'999}));
  CPPUNIT_ASSERT_EQUAL(1U, outlier.cap(8, {2'000}));
  outlier.on_failure({2'000});
  CPPUNIT_ASSERT_EQUAL(0U, outlier.cap(8, {3'999}));
  outlier.on_success();
  CPPUNIT_ASSERT_EQUAL(ejection::no_cap, outlier.cap(8, {4'000}));
}

TEST_THAT(candidate_set, ejects_a_bounded_part_of_the_servers) {
  const scheduler_settings settings;
  candidate_set candidates(settings.ejection);
  std::vector<candidate> servers;
  for (int number = 0; number < 10; ++number) {
    auto state = std::make_shared<server_state>(policy_case::server(number, false), settings,
                                                server_speed{});
    state->on_failure({1'000});
    state->on_failure({1'000});
    servers.emplace_back(candidate{state, 0});
  }
  candidates.assign(servers, {}, {1'001});
  CPPUNIT_ASSERT_EQUAL(3U, candidates.ejected());
  CPPUNIT_ASSERT_EQUAL(std::size_t{7}, candidates.open(0).size());
}

TEST_THAT(candidate_set, ejects_a_failing_server_though_a_slow_one_is_ejected_already) {
  const scheduler_settings settings;
  candidate_set candidates(settings.ejection);
  constexpr int count = 4;
  std::vector<candidate> servers;
  servers.reserve(count);
  for (int number = 0; number < count; ++number) {
    servers.emplace_back(
        candidate{std::make_shared<server_state>(policy_case::server(number, false), settings,
                                                 server_speed{}),
                  0});
  }
  candidates.assign(servers, {}, {1'000});
  time_point now{1'000};
  for (int step = 0; step < 4'000; ++step) {
    const duration each{step < 3'800 ? 10 : 100};
    now = now + each;
    servers[0].server->on_tokens(1, each, now);
  }
  candidates.refresh(0, now);
  CPPUNIT_ASSERT_EQUAL(1U, candidates.ejected());
  servers[1].server->on_failure(now);
  servers[1].server->on_failure(now);
  candidates.refresh(1, now);
  CPPUNIT_ASSERT_EQUAL(2U, candidates.ejected());
  CPPUNIT_ASSERT_EQUAL(std::size_t{3}, candidates.open(0).size());
}

TEST_THAT(window_parts, of_all_routers_add_up_to_the_window) {
  const scheduler_settings settings;
  const server_state server(policy_case::server(0, false), settings, server_speed{});
  for (const std::uint32_t routers : {1U, 2U, 3U, 4U}) {
    sharing shared;
    shared.routers = routers;
    shared.contenders.fill(routers);
    double sum = 0;
    for (std::uint32_t rank = 0; rank < routers; ++rank) {
      sum += server.offer(shared, rank, true, {1'000}).limit.at(0);
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(policy_case::slots, sum, 0.01);
  }
}

TEST_THAT(subset, is_even_by_server_and_a_new_router_moves_its_own_part) {
  const auto servers = names("engine-", 1200);
  auto routers = names("vm-", 32);
  const choice_settings settings;
  std::size_t moved = 0;
  std::size_t used = 0;
  auto more = routers;
  more.emplace_back("vm-new");
  for (const std::string& own : routers) {
    const server_subset before = choose_subset("model", servers, routers, own, settings);
    const server_subset after = choose_subset("model", servers, more, own, settings);
    used += before.servers.size();
    std::set<std::size_t> kept;
    for (const auto& each : after.servers) {
      kept.insert(each.position);
    }
    moved += static_cast<std::size_t>(
        std::count_if(before.servers.begin(), before.servers.end(),
                      [&kept](const auto& each) { return !kept.contains(each.position); }));
    CPPUNIT_ASSERT(before.servers.size() >= 100 && before.servers.size() <= 200);
  }
  CPPUNIT_ASSERT_EQUAL(std::size_t{1200 * 4}, used);
  CPPUNIT_ASSERT(moved <= used / 20);
}

TEST_THAT(workspace_state, divides_its_limits_and_lends_what_idle_peers_leave) {
  workspace_state workspace((scheduler_settings()));
  workspace_limits limits;
  limits.queued = 8;
  const auto admitted = [&](limit_share share) {
    int count = 0;
    while (workspace.admit(limits, 10, share, {1'000}) == admission::granted) {
      ++count;
    }
    return count;
  };
  CPPUNIT_ASSERT_EQUAL(2, admitted({4, 0}));
  CPPUNIT_ASSERT_EQUAL(3, admitted({4, 3}));
}

TEST_THAT(workspace_state, gives_no_more_retries_than_its_budget) {
  workspace_state workspace((scheduler_settings()));
  int granted = 0;
  while (workspace.take_retry()) {
    ++granted;
  }
  CPPUNIT_ASSERT_EQUAL(10, granted);
  for (int request = 0; request < 20; ++request) {
    workspace.admit({}, 10, {}, {1'000});
  }
  CPPUNIT_ASSERT(workspace.take_retry());
  CPPUNIT_ASSERT(!workspace.take_retry() || !workspace.take_retry());
}

TEST_THAT(peer_demand, gives_what_the_waiting_router_takes) {
  std::vector<peer_waiting> waiting(4);
  for (std::size_t index = 0; index < waiting.size(); ++index) {
    waiting.at(index).vm = "vm-" + std::to_string(index);
  }
  waiting.at(0).by_tier[0] = 30;
  double taken = 0;
  double given = 0;
  for (const peer_waiting& own : waiting) {
    peer_demand demand((window_settings()));
    demand.observe(waiting, own.vm, {1'000});
    taken += demand.shift().taken.at(0);
    given += demand.shift().given.at(3);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.0, demand.shift().given.at(0), 0.001);
  }
  CPPUNIT_ASSERT(taken > 0);
  CPPUNIT_ASSERT_DOUBLES_EQUAL(taken, given, 0.001);
}

TEST_THAT(server_registry, gives_a_new_server_the_mean_speed_of_its_kind) {
  const scheduler_settings settings;
  server_registry registry(settings);
  fleet_snapshot fleet;
  fleet.backend_servers = {policy_case::server(0, false)};
  registry.apply(fleet, "vm-0", {}, {1'000});
  const auto known = registry.servers_of("model").servers.at(0).server;
  for (int count = 0; count < 1000; ++count) {
    known->on_tokens(1, 80_ms, {2'000});
  }
  fleet.backend_servers.push_back(policy_case::server(1, false));
  registry.apply(fleet, "vm-0", {}, {2'000});
  const auto joined = registry.servers_of("model").servers.at(1).server;
  CPPUNIT_ASSERT_DOUBLES_EQUAL(80.0, joined->speed().per_token_ms, 2.0);
}

}  // namespace
}  // namespace hawthornnotch::policy
