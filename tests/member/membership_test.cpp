#include "hawthornnotch/member/membership.h"

#include "fleet_of_agents.h"
#include "test_case.h"

namespace hawthornnotch::member {
namespace {

bool leaving(const membership& agent, const std::string& id) {
  const auto* record = agent.backends().find(id);
  return record != nullptr && record->server.leaving;
}

std::string incarnation_of(const membership& agent, const std::string& id) {
  const auto* record = agent.backends().find(id);
  return record == nullptr ? "" : record->server.incarnation;
}

std::size_t sharers(const membership& agent) { return agent.snapshot().entry_vms.size(); }

// Starts agents 0..count-1 and runs rounds until all know each other.
void start_and_converge(fleet_of_agents& fleet, int count) {
  for (int number = 0; number < count; ++number) {
    fleet.start(number);
  }
  const auto all_known = [count](const membership& agent) {
    return sharers(agent) == static_cast<std::size_t>(count);
  };
  CPPUNIT_ASSERT(fleet.rounds_until_all(all_known, 20) <= 20);
}

TEST_THAT(membership, propagates_leaving_from_one_agent_to_all_without_the_platform) {
  fleet_of_agents fleet;
  start_and_converge(fleet, 8);
  fleet.at(3).apply_announcement(make_server("e1", "i1"), 5);
  const auto known = [](const membership& agent) { return agent.backends().size() == 1; };
  CPPUNIT_ASSERT(fleet.rounds_until_all(known, 6) <= 6);
  auto gone = make_server("e1", "i1");
  gone.leaving = true;
  fleet.at(5).apply_announcement(gone, 6);
  const auto left = [](const membership& agent) { return leaving(agent, "e1"); };
  CPPUNIT_ASSERT(fleet.rounds_until_all(left, 6) <= 6);
}

TEST_THAT(membership, never_revokes_leaving_within_an_incarnation) {
  fleet_of_agents fleet;
  start_and_converge(fleet, 3);
  auto gone = make_server("e1", "i1");
  gone.leaving = true;
  fleet.at(0).apply_list({gone});
  for (int round = 0; round < 4; ++round) {
    // Another agent's list lags, and an older announcement is read late.
    fleet.at(1).apply_list({make_server("e1", "i1")});
    fleet.at(2).apply_announcement(make_server("e1", "i1"), 9 + round);
    fleet.round();
  }
  for (int number = 0; number < 3; ++number) {
    CPPUNIT_ASSERT(leaving(fleet.at(number), "e1"));
  }
}

TEST_THAT(membership, applies_announcements_at_once_but_not_of_another_failure_domain) {
  fleet_of_agents fleet;
  membership& agent = fleet.start(0);
  const auto before = agent.version();
  agent.apply_announcement(make_server("e1", "i1"), 1);
  auto elsewhere = make_server("e2", "i1");
  elsewhere.failure_domain = "vz-jug";
  agent.apply_announcement(elsewhere, 2);
  CPPUNIT_ASSERT(agent.version() > before);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, agent.snapshot().backend_servers.size());
}

TEST_THAT(membership, does_not_confuse_a_replaced_vm_with_the_old_one) {
  fleet_of_agents fleet;
  start_and_converge(fleet, 4);
  auto old = make_server("e1", "i1");
  fleet.at(0).apply_list({old});
  const auto known = [](const membership& agent) { return agent.backends().size() == 1; };
  CPPUNIT_ASSERT(fleet.rounds_until_all(known, 6) <= 6);
  old.leaving = true;
  fleet.at(1).apply_list({old});
  fleet.at(0).apply_list({make_server("e1", "i0")});
  // A stale list must not bring the old incarnation back.
  const auto replaced = [](const membership& agent) {
    return incarnation_of(agent, "e1") == "i0" && !leaving(agent, "e1");
  };
  CPPUNIT_ASSERT(fleet.rounds_until_all(replaced, 6) <= 6);
  fleet.at(2).apply_list({old});
  CPPUNIT_ASSERT_EQUAL(0, fleet.rounds_until_all(replaced, 6));
}

TEST_THAT(membership, prefers_an_announcement_over_a_lagging_list_for_a_limited_time) {
  fleet_of_agents fleet;
  membership& agent = fleet.start(0);
  agent.apply_list({make_server("e1", "i1")});
  agent.apply_announcement(make_server("e1", "i2"), 4);
  agent.apply_list({make_server("e1", "i1")});
  CPPUNIT_ASSERT_EQUAL(std::string("i2"), incarnation_of(agent, "e1"));
  fleet.time.advance(duration{121'000});
  agent.apply_list({make_server("e1", "i3")});
  CPPUNIT_ASSERT_EQUAL(std::string("i3"), incarnation_of(agent, "e1"));
}

TEST_THAT(membership, keeps_servers_through_an_empty_list_and_one_incomplete_list) {
  fleet_of_agents fleet;
  membership& agent = fleet.start(0);
  const auto first = make_server("e1", "i1");
  const auto second = make_server("e2", "i1");
  agent.apply_list({first, second});
  agent.apply_list({});
  agent.apply_list({first});
  agent.apply_list({first, second});
  CPPUNIT_ASSERT(!leaving(agent, "e2"));
  agent.apply_list({first});
  agent.apply_list({first});
  CPPUNIT_ASSERT(leaving(agent, "e2"));
  CPPUNIT_ASSERT(!leaving(agent, "e1"));
}

TEST_THAT(membership, converges_within_few_rounds_after_1_2_and_4_join_at_once) {
  for (const int joining : {1, 2, 4}) {
    fleet_of_agents fleet;
    start_and_converge(fleet, 4);
    for (int number = 4; number < 4 + joining; ++number) {
      fleet.start(number);
    }
    const std::size_t all = std::size_t{4} + static_cast<std::size_t>(joining);
    const auto agreed = [all](const membership& agent) { return sharers(agent) == all; };
    CPPUNIT_ASSERT(fleet.rounds_until_all(agreed, 8) <= 8);
  }
}

TEST_THAT(membership, converges_after_half_of_the_agents_stop_at_once) {
  fleet_of_agents fleet;
  start_and_converge(fleet, 8);
  for (const int number : {1, 3, 5, 7}) {
    fleet.stop(number);
  }
  const auto agreed = [](const membership& agent) { return sharers(agent) == 4; };
  CPPUNIT_ASSERT(fleet.rounds_until_all(agreed, 25) <= 25);
}

TEST_THAT(membership, keeps_the_share_of_a_vm_unreachable_from_only_one_agent) {
  for (const bool both_ways : {false, true}) {
    fleet_of_agents fleet;
    start_and_converge(fleet, 4);
    fleet.disconnect(0, 1);
    if (both_ways) {
      fleet.disconnect(1, 0);
    }
    for (int round = 0; round < 60; ++round) {
      fleet.round();
      CPPUNIT_ASSERT_EQUAL(std::size_t{4}, sharers(fleet.at(0)));
      CPPUNIT_ASSERT_EQUAL(std::size_t{4}, sharers(fleet.at(2)));
    }
  }
}

TEST_THAT(membership, restores_the_share_of_a_vm_when_a_partition_heals) {
  fleet_of_agents fleet;
  start_and_converge(fleet, 4);
  for (const int other : {0, 1, 2}) {
    fleet.disconnect(other, 3);
    fleet.disconnect(3, other);
  }
  const auto removed = [](const membership& agent) {
    return agent.peers().self().vm.id == "vm-3" || sharers(agent) == 3;
  };
  CPPUNIT_ASSERT(fleet.rounds_until_all(removed, 20) <= 20);
  CPPUNIT_ASSERT_EQUAL(std::size_t{4}, sharers(fleet.at(3)));
  fleet.reconnect_all();
  const auto back = [](const membership& agent) { return sharers(agent) == 4; };
  CPPUNIT_ASSERT(fleet.rounds_until_all(back, 10) <= 10);
}

TEST_THAT(membership, removes_a_leaving_vm_and_accepts_its_restart) {
  fleet_of_agents fleet;
  start_and_converge(fleet, 4);
  fleet.at(2).leave();
  const auto left = [](const membership& agent) { return sharers(agent) == 3; };
  CPPUNIT_ASSERT(fleet.rounds_until_all(left, 6) <= 6);
  fleet.stop(2);
  fleet.round();
  fleet.start(2);
  const auto back = [](const membership& agent) { return sharers(agent) == 4; };
  CPPUNIT_ASSERT(fleet.rounds_until_all(back, 8) <= 8);
}

TEST_THAT(membership, distributes_polling_evenly_and_has_two_watchers) {
  fleet_of_agents fleet;
  start_and_converge(fleet, 8);
  constexpr int servers = 400;
  int watchers = 0;
  for (int number = 0; number < 8; ++number) {
    const membership& agent = fleet.at(number);
    watchers += agent.watches_platform() ? 1 : 0;
    int polled = 0;
    for (int server = 0; server < servers; ++server) {
      polled += agent.polls("e" + std::to_string(server)) ? 1 : 0;
    }
    // 400 servers, each polled by 2 of 8 agents: 100 per agent on average.
    CPPUNIT_ASSERT(polled > 70 && polled < 130);
  }
  CPPUNIT_ASSERT_EQUAL(2, watchers);
}

workspace_table workspaces_at(std::uint64_t revision) {
  workspace_parameters workspace;
  workspace.workspace = "zimska";
  workspace.revision = revision;
  return {{"zimska", workspace}};
}

TEST_THAT(membership, propagates_configuration_without_the_platform_and_never_reverts_it) {
  fleet_of_agents fleet;
  start_and_converge(fleet, 4);
  fleet.at(1).apply_workspaces(workspaces_at(7), true);
  const auto has_it = [](const membership& agent) {
    const auto found = agent.workspaces().find("zimska");
    return agent.configuration_complete() && found != agent.workspaces().end() &&
           found->second.revision == 7;
  };
  CPPUNIT_ASSERT(fleet.rounds_until_all(has_it, 6) <= 6);
  // Stale configuration has a lower revision and is ignored.
  fleet.at(2).apply_workspaces(workspaces_at(6), true);
  CPPUNIT_ASSERT(has_it(fleet.at(2)));
  fleet.round();
  CPPUNIT_ASSERT_EQUAL(0, fleet.rounds_until_all(has_it, 0));
  fleet.start(4);
  CPPUNIT_ASSERT(!fleet.at(4).configuration_complete());
  CPPUNIT_ASSERT(fleet.rounds_until_all(has_it, 6) <= 6);
}

TEST_THAT(membership, limits_messages_to_the_byte_budget_and_resumes_where_it_stopped) {
  membership_settings settings;
  settings.fact_bytes = 2'000;
  fleet_of_agents fleet(settings);
  start_and_converge(fleet, 2);
  std::vector<fleet_vm> listed;
  listed.reserve(200);
  for (int server = 0; server < 200; ++server) {
    listed.emplace_back(make_server("e" + std::to_string(server), "i1"));
  }
  fleet.at(0).apply_list(listed);
  const auto message = fleet.at(0).message_for({"vm-1", make_vm(1).agent, true});
  CPPUNIT_ASSERT(!message.facts.empty() && message.facts.size() < 20);
  const auto all = [](const membership& agent) { return agent.backends().size() == 200; };
  CPPUNIT_ASSERT(fleet.rounds_until_all(all, 40) <= 40);
}

TEST_THAT(membership, forwards_all_reports_round_robin_within_the_byte_budget) {
  membership_settings settings;
  settings.load_bytes = 1'024;
  fleet_of_agents fleet(settings);
  start_and_converge(fleet, 2);
  std::vector<fleet_vm> listed;
  listed.reserve(200);
  for (int server = 0; server < 200; ++server) {
    listed.emplace_back(make_server("e" + std::to_string(server), "i1"));
  }
  fleet.at(0).apply_list(listed);
  // All servers report again each second, in the same order.
  const auto all = [&fleet](const membership& agent) {
    for (const auto& server : fleet.at(0).backends().servers()) {
      fleet.at(0).apply_report({server.id, 1, 0, fleet.time.now()});
    }
    return agent.snapshot().reports.size() == 200;
  };
  const auto message = fleet.at(0).message_for({"vm-1", make_vm(1).agent, true});
  CPPUNIT_ASSERT(message.loads.size() < 30);
  CPPUNIT_ASSERT(fleet.rounds_until_all(all, 40) <= 40);
}

TEST_THAT(membership, does_not_resend_acknowledged_facts) {
  fleet_of_agents fleet;
  start_and_converge(fleet, 2);
  fleet.at(0).apply_announcement(make_server("e1", "i1"), 1);
  for (int round = 0; round < 4; ++round) {
    fleet.round();
  }
  CPPUNIT_ASSERT(fleet.at(0).message_for({"vm-1", make_vm(1).agent, true}).facts.empty());
}

// Two agents learn the same 300 servers independently; their exchange must not repeat them.
TEST_THAT(membership, does_not_send_facts_that_a_peer_already_has) {
  constexpr int servers = 300;
  fleet_of_agents fleet;
  start_and_converge(fleet, 2);
  for (int number = 0; number < servers; ++number) {
    const auto server = make_server("e" + std::to_string(number), "i1");
    fleet.at(0).apply_announcement(server, number + 1);
    fleet.at(1).apply_announcement(server, number + 1);
  }
  fleet.at(0).begin_round();
  fleet.at(1).begin_round();
  const peer_contact to_1{"vm-1", make_vm(1).agent, true};
  const auto answer = fleet.at(1).receive(fleet.at(0).message_for(to_1));
  CPPUNIT_ASSERT(answer.facts.empty());
  fleet.at(0).receive_answer(to_1, answer);
  const auto second = fleet.at(0).message_for(to_1);
  CPPUNIT_ASSERT(second.facts.empty());
  CPPUNIT_ASSERT_EQUAL(second.newest_fact, second.upto.facts);
}

TEST_THAT(membership, sends_a_change_to_a_peer_with_older_digests) {
  fleet_of_agents fleet;
  start_and_converge(fleet, 2);
  for (int round = 0; round < 4; ++round) {
    fleet.round();
  }
  auto server = make_server("e1", "i1");
  fleet.at(0).apply_announcement(server, 1);
  fleet.round();
  server.leaving = true;
  fleet.at(0).apply_announcement(server, 2);
  const peer_contact to_1{"vm-1", make_vm(1).agent, true};
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.at(0).message_for(to_1).facts.size());
}

TEST_THAT(membership, sends_all_facts_again_to_a_restarted_agent) {
  fleet_of_agents fleet;
  start_and_converge(fleet, 2);
  fleet.at(0).apply_announcement(make_server("e1", "i1"), 1);
  fleet.round();
  fleet.round();
  fleet.stop(1);
  fleet.start(1);
  const auto known = [](const membership& agent) { return agent.backends().size() == 1; };
  CPPUNIT_ASSERT(fleet.rounds_until_all(known, 5) <= 5);
}

TEST_THAT(membership, stays_bounded_when_a_peer_sends_too_much) {
  membership_settings settings;
  settings.backends.max_servers = 10;
  settings.peers.max_vms = 10;
  settings.max_workspaces = 10;
  fleet_of_agents fleet(settings);
  membership& agent = fleet.start(0);
  gossip_message flood;
  flood.from = {make_vm(1), 1};
  flood.log_id = "x";
  for (int number = 0; number < 100; ++number) {
    flood.facts.emplace_back(backend_record{make_server("e" + std::to_string(number), "i"), 0});
    flood.facts.emplace_back(vm_record{make_vm(number + 2), 1});
    workspace_parameters workspace;
    workspace.workspace = "w" + std::to_string(number);
    flood.facts.emplace_back(workspace);
  }
  (void)agent.receive(flood);
  CPPUNIT_ASSERT_EQUAL(std::size_t{10}, agent.backends().size());
  CPPUNIT_ASSERT_EQUAL(std::size_t{90}, agent.backends().refused());
  CPPUNIT_ASSERT_EQUAL(std::size_t{10}, agent.peers().others().size());
  CPPUNIT_ASSERT_EQUAL(std::size_t{10}, agent.workspaces().size());
}

}  // namespace
}  // namespace hawthornnotch::member
