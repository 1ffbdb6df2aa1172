#include "hawthornnotch/dispatch/dispatcher.h"

#include <set>

#include "hawthornnotch/dispatch/retry_budget.h"
#include "test_case.h"

namespace hawthornnotch::dispatch {
namespace {

using namespace literals;

constexpr std::uint32_t shared_tokens = 13'000;
constexpr std::uint32_t own_tokens = 3'700;

servers::server_entry make_server(std::string id, std::uint16_t port) {
  servers::server_entry entry;
  entry.id = std::move(id);
  entry.start_time_ms = 1;
  entry.service = "forecast";
  entry.address = {"10.0.0.1", port};
  entry.failure_domain = "zg-istok";
  entry.slots = 128;
  return entry;
}

std::vector<prompt_prefix> prompt_about(std::uint64_t topic, std::uint64_t request) {
  prompt_shape prompt;
  prompt.parts = {{topic, shared_tokens}, {request, own_tokens}};
  return prefixes_of(prompt);
}

// A fleet of backend servers that several entry VMs share.
class fleet_fixture {
 public:
  explicit fleet_fixture(std::size_t servers) {
    servers::list_snapshot snapshot;
    snapshot.version.revision = 1;
    snapshot.read_at = now;
    for (std::size_t index = 0; index < servers; ++index) {
      snapshot.entries.push_back(
          make_server("s" + std::to_string(index), static_cast<std::uint16_t>(8000 + index)));
    }
    list.apply(snapshot, now);
  }

  placement choose(dispatcher& at, const std::vector<prompt_prefix>& prefixes,
                   std::vector<std::string> tried = {}) const {
    placement_query query = query_for(prefixes);
    query.tried = tried;
    return must_choose(at, query);
  }

  // Chooses a server for a gap-sensitive stream with a short prompt.
  placement choose_stream(dispatcher& at, std::uint64_t request) const {
    const auto prefixes = short_prompt(request);
    return must_choose(at, stream_query(prefixes));
  }

  placement_query query_for(const std::vector<prompt_prefix>& prefixes) const {
    placement_query query;
    query.service = "forecast";
    query.prefixes = prefixes;
    query.target_latency = 2_s;
    query.target_gap = 600_ms;
    query.now = now;
    return query;
  }

  placement_query stream_query(const std::vector<prompt_prefix>& prefixes) const {
    placement_query query = query_for(prefixes);
    query.target_latency = 1_s;
    query.target_gap = 250_ms;
    query.gap_sensitive = true;
    query.time_left = 15_s;
    return query;
  }

  static placement must_choose(dispatcher& at, const placement_query& query) {
    const auto chosen = at.choose(query);
    CPPUNIT_ASSERT(chosen.has_value());
    return *chosen;
  }

  static std::vector<prompt_prefix> short_prompt(std::uint64_t request) {
    prompt_shape prompt;
    prompt.parts = {{request % 7, 350}, {1'000'000 + request, 1'100}};
    return prefixes_of(prompt);
  }

  // Reports to the entry VM that other entry VMs run this work on each server.
  void report_peer_work(dispatcher& to, std::uint32_t sensitive,
                        std::uint64_t prefill_tokens) const {
    std::map<std::string, relay::server_work, std::less<>> work;
    for (const servers::server_entry* server : list.serving("forecast")) {
      work[server->id] = {server->id, 3, prefill_tokens, sensitive};
    }
    to.apply_peer_work(work);
  }

  time_point now{1'000'000};
  servers::server_list list{servers::server_list_settings{}};
};

TEST_THAT(dispatcher, sends_a_shared_prompt_to_the_same_server_from_every_entry_vm) {
  fleet_fixture fleet(18);
  dispatcher first(fleet.list, "zg-istok", 1);
  dispatcher second(fleet.list, "vz-jug", 2);
  for (std::uint64_t topic = 1; topic <= 50; ++topic) {
    const placement here = fleet.choose(first, prompt_about(topic, 1'000 + topic));
    const placement there = fleet.choose(second, prompt_about(topic, 2'000 + topic));
    CPPUNIT_ASSERT_EQUAL(here.server.id, there.server.id);
  }
}

TEST_THAT(dispatcher, spreads_shared_prompts_over_the_servers) {
  fleet_fixture fleet(18);
  dispatcher entry(fleet.list, "zg-istok", 1);
  std::set<std::string> used;
  for (std::uint64_t topic = 1; topic <= 200; ++topic) {
    used.insert(fleet.choose(entry, prompt_about(topic, topic)).server.id);
  }
  CPPUNIT_ASSERT_EQUAL(std::size_t{18}, used.size());
}

TEST_THAT(dispatcher, stays_with_the_server_that_caches_the_parts_while_answers_are_in_time) {
  fleet_fixture fleet(18);
  dispatcher entry(fleet.list, "zg-istok", 1);
  const placement home = fleet.choose(entry, prompt_about(7, 1));
  (void)entry.begin_attempt(home, prompt_about(7, 1), fleet.now);
  const placement next = fleet.choose(entry, prompt_about(7, 2));
  CPPUNIT_ASSERT_EQUAL(home.server.id, next.server.id);
}

TEST_THAT(dispatcher, sends_a_hot_prompt_to_few_other_servers_when_its_first_one_is_backlogged) {
  fleet_fixture fleet(18);
  dispatcher entry(fleet.list, "zg-istok", 1);
  std::set<std::string> used;
  for (std::uint64_t request = 1; request <= 60; ++request) {
    const auto prefixes = prompt_about(7, request);
    const placement chosen = fleet.choose(entry, prefixes);
    (void)entry.begin_attempt(chosen, prefixes, fleet.now);
    used.insert(chosen.server.id);
  }
  CPPUNIT_ASSERT(used.size() > 1);
  CPPUNIT_ASSERT(used.size() <= 6);
}

// In a burst that fills all servers, prefilling the same long shared part on every server takes
// time from all other prompts and the fleet collapses.
TEST_THAT(dispatcher, prefills_long_shared_parts_on_two_servers_at_most_when_all_are_busy) {
  fleet_fixture fleet(18);
  dispatcher entry(fleet.list, "zg-istok", 1);
  std::map<std::string, relay::server_work, std::less<>> work;
  for (const servers::server_entry* server : fleet.list.serving("forecast")) {
    work[server->id] = {server->id, 100, 40'000};
  }
  std::set<std::string> used;
  for (std::uint64_t request = 1; request <= 60; ++request) {
    entry.apply_peer_work(work);
    const placement chosen = fleet.choose(entry, prompt_about(7, request));
    used.insert(chosen.server.id);
    work[chosen.server.id].running += 1;
    work[chosen.server.id].prefill_tokens += own_tokens;
  }
  CPPUNIT_ASSERT_EQUAL(std::size_t{2}, used.size());
}

TEST_THAT(dispatcher, fetches_shared_parts_from_the_first_other_server_that_is_not_avoided) {
  fleet_fixture fleet(18);
  dispatcher entry(fleet.list, "zg-istok", 1);
  const auto prefixes = prompt_about(7, 1);
  const placement first = fleet.choose(entry, prefixes);
  const placement second = fleet.choose(entry, prefixes, {first.server.id});
  CPPUNIT_ASSERT(second.fetch_from == first.server.address);
  CPPUNIT_ASSERT(first.fetch_from == second.server.address);
  const attempt cut = entry.begin_attempt(first, prefixes, fleet.now);
  entry.end_attempt(cut, attempt_end::broken, fleet.now);
  const placement third = fleet.choose(entry, prefixes, {first.server.id, second.server.id});
  CPPUNIT_ASSERT(third.fetch_from == second.server.address);
}

TEST_THAT(dispatcher, counts_the_work_of_other_entry_vms) {
  fleet_fixture fleet(18);
  dispatcher entry(fleet.list, "zg-istok", 1);
  const placement home = fleet.choose(entry, prompt_about(7, 1));
  std::map<std::string, relay::server_work, std::less<>> work;
  work[home.server.id] = {home.server.id, 20, 200'000};
  entry.apply_peer_work(work);
  const placement other = fleet.choose(entry, prompt_about(7, 2));
  CPPUNIT_ASSERT(home.server.id != other.server.id);
}

TEST_THAT(dispatcher, excludes_servers_that_were_tried) {
  fleet_fixture fleet(2);
  dispatcher entry(fleet.list, "zg-istok", 1);
  const placement first = fleet.choose(entry, prompt_about(7, 1));
  const placement second = fleet.choose(entry, prompt_about(7, 1), {first.server.id});
  CPPUNIT_ASSERT(first.server.id != second.server.id);
  placement_query query;
  query.service = "forecast";
  const std::vector<std::string> all = {"s0", "s1"};
  query.tried = all;
  CPPUNIT_ASSERT(entry.choose(query).last_reason() == placement_failure::all_tried);
}

TEST_THAT(dispatcher, avoids_a_server_that_breaks_answers_and_retries_it_later) {
  fleet_fixture fleet(18);
  dispatcher entry(fleet.list, "zg-istok", 1);
  const auto prefixes = prompt_about(7, 1);
  const placement home = fleet.choose(entry, prefixes);
  const attempt sent = entry.begin_attempt(home, prefixes, fleet.now);
  entry.end_attempt(sent, attempt_end::broken, fleet.now);
  CPPUNIT_ASSERT(fleet.choose(entry, prefixes).server.id != home.server.id);
  fleet.now = fleet.now + 30_s;
  const auto other = prompt_about(7, 2);
  const attempt good = entry.begin_attempt(home, other, fleet.now);
  entry.end_attempt(good, attempt_end::completed, fleet.now);
  CPPUNIT_ASSERT_EQUAL(home.server.id, fleet.choose(entry, other).server.id);
}

TEST_THAT(dispatcher, avoids_a_server_whose_address_another_one_has_taken_over) {
  fleet_fixture fleet(18);
  dispatcher entry(fleet.list, "zg-istok", 1);
  prompt_shape long_prompt;
  long_prompt.parts = {{7, 40'000}, {1, own_tokens}};
  const auto prefixes = prefixes_of(long_prompt);
  const placement home = fleet.choose(entry, prefixes);
  const attempt sent = entry.begin_attempt(home, prefixes, fleet.now);
  entry.end_attempt(sent, attempt_end::wrong_server, fleet.now);
  for (int second = 0; second < 5; ++second) {
    fleet.now = fleet.now + 1_s;
    CPPUNIT_ASSERT(fleet.choose(entry, prefixes).server.id != home.server.id);
  }
}

// When a third of the engines restart under new ids, each entry VM would otherwise be refused by
// each of them.
TEST_THAT(dispatcher, avoids_a_server_that_another_entry_vm_found_absent) {
  fleet_fixture fleet(18);
  dispatcher first(fleet.list, "zg-istok", 1);
  dispatcher second(fleet.list, "zg-istok", 2);
  dispatcher third(fleet.list, "zg-istok", 3);
  const auto prefixes = prompt_about(7, 1);
  const placement home = fleet.choose(first, prefixes);
  const attempt sent = first.begin_attempt(home, prefixes, fleet.now);
  first.end_attempt(sent, attempt_end::wrong_server, fleet.now);
  second.apply_absences(first.absences(fleet.now), fleet.now);
  fleet.now = fleet.now + 1_s;
  third.apply_absences(second.absences(fleet.now), fleet.now);
  CPPUNIT_ASSERT(fleet.choose(third, prefixes).server.id != home.server.id);
  fleet.now = fleet.now + 6_s;
  CPPUNIT_ASSERT(third.absences(fleet.now).empty());
  CPPUNIT_ASSERT_EQUAL(home.server.id, fleet.choose(third, prefixes).server.id);
}

// Runs a stream of 100 events on a server, with this gap between them.
void stream_from(fleet_fixture& fleet, dispatcher& entry, const placement& from,
                 const std::vector<prompt_prefix>& prefixes, duration gap) {
  constexpr int events = 100;
  attempt sent = entry.begin_attempt(from, prefixes, fleet.now);
  for (int event = 0; event < events; ++event) {
    fleet.now = fleet.now + gap;
    entry.record_events(sent, 1, fleet.now);
  }
  entry.end_attempt(sent, attempt_end::completed, fleet.now);
}

TEST_THAT(dispatcher, avoids_a_server_with_long_gaps_for_a_short_target_gap) {
  fleet_fixture fleet(2);
  dispatcher entry(fleet.list, "zg-istok", 1);
  const auto prefixes = prompt_about(7, 1);
  const placement home = fleet.choose(entry, prefixes);
  stream_from(fleet, entry, home, prefixes, 300_ms);
  placement_query query;
  query.service = "forecast";
  query.prefixes = prefixes;
  query.target_latency = 2_s;
  query.target_gap = 150_ms;
  query.now = fleet.now;
  const auto chosen = entry.choose(query);
  CPPUNIT_ASSERT(chosen->server.id != home.server.id);
}

TEST_THAT(dispatcher, sends_a_long_answer_where_it_can_be_finished_in_time) {
  fleet_fixture fleet(2);
  dispatcher entry(fleet.list, "zg-istok", 1);
  const auto prefixes = prompt_about(7, 1);
  const placement home = fleet.choose(entry, prefixes);
  stream_from(fleet, entry, home, prefixes, 60_ms);
  placement_query query;
  query.service = "forecast";
  query.prefixes = prefixes;
  query.target_latency = 2_s;
  query.now = fleet.now;
  query.time_left = 13_s;
  query.expected_events = 60;
  CPPUNIT_ASSERT_EQUAL(home.server.id, entry.choose(query)->server.id);
  query.expected_events = 220;
  CPPUNIT_ASSERT(entry.choose(query)->server.id != home.server.id);
}

TEST_THAT(dispatcher, uses_the_speeds_that_other_entry_vms_observed) {
  fleet_fixture fleet(2);
  dispatcher first(fleet.list, "zg-istok", 1);
  dispatcher second(fleet.list, "zg-istok", 2);
  const auto prefixes = prompt_about(7, 1);
  const placement home = fleet.choose(first, prefixes);
  attempt sent = first.begin_attempt(home, prefixes, fleet.now);
  for (int event = 0; event < 100; ++event) {
    fleet.now = fleet.now + 700_ms;
    first.record_events(sent, 1, fleet.now);
  }
  CPPUNIT_ASSERT_EQUAL(home.server.id, fleet.choose(second, prefixes).server.id);
  second.apply_peer_paces(first.local_paces(10, fleet.now), fleet.now);
  CPPUNIT_ASSERT(fleet.choose(second, prefixes).server.id != home.server.id);
}

// In a large fleet the last local stream on a server may date from before a burst.
TEST_THAT(dispatcher, prefers_recent_peer_observations_to_stale_local_ones) {
  fleet_fixture fleet(2);
  dispatcher entry(fleet.list, "zg-istok", 1);
  const auto prefixes = prompt_about(7, 1);
  const placement home = fleet.choose(entry, prefixes);
  attempt sent = entry.begin_attempt(home, prefixes, fleet.now);
  for (int event = 0; event < 100; ++event) {
    fleet.now = fleet.now + 20_ms;
    entry.record_events(sent, 1, fleet.now);
  }
  entry.end_attempt(sent, attempt_end::completed, fleet.now);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, entry.local_paces(10, fleet.now).size());
  fleet.now = fleet.now + 10_s;
  CPPUNIT_ASSERT(entry.local_paces(10, fleet.now).empty());
  const std::vector<relay::server_pace> peer_paces = {{home.server.id, 1, 200.0, 1'500.0}};
  entry.apply_peer_paces(peer_paces, fleet.now);
  CPPUNIT_ASSERT(fleet.choose(entry, prefixes).server.id != home.server.id);
}

TEST_THAT(dispatcher, shares_the_speeds_of_all_servers_in_turn) {
  fleet_fixture fleet(5);
  dispatcher entry(fleet.list, "zg-istok", 1);
  for (const servers::server_entry* server : fleet.list.serving("forecast")) {
    placement chosen;
    chosen.server = *server;
    attempt sent = entry.begin_attempt(chosen, prompt_about(1, 1), fleet.now);
    for (int event = 0; event < 50; ++event) {
      entry.record_events(sent, 1, fleet.now);
    }
  }
  std::set<std::string> shared_servers;
  for (int message = 0; message < 3; ++message) {
    for (const relay::server_pace& pace : entry.local_paces(2, fleet.now)) {
      shared_servers.insert(pace.server);
    }
  }
  CPPUNIT_ASSERT_EQUAL(std::size_t{5}, shared_servers.size());
}

TEST_THAT(dispatcher, avoids_an_unreachable_failure_domain_and_retries_it_later) {
  time_point now{1'000'000};
  servers::server_list list{servers::server_list_settings{}};
  servers::list_snapshot snapshot;
  snapshot.version.revision = 1;
  snapshot.read_at = now;
  for (std::uint16_t index = 0; index < 18; ++index) {
    servers::server_entry entry =
        make_server("s" + std::to_string(index), static_cast<std::uint16_t>(8000 + index));
    entry.failure_domain = index < 9 ? "zg-istok" : "vz-jug";
    snapshot.entries.push_back(entry);
  }
  list.apply(snapshot, now);
  dispatcher entry(list, "zg-istok", 1);
  const auto count_remote_attempts = [&](int requests) {
    int remote = 0;
    for (int request = 0; request < requests; ++request) {
      placement_query query;
      const auto prefixes = prompt_about(1'000U + static_cast<std::uint64_t>(request), 1);
      query.service = "forecast";
      query.prefixes = prefixes;
      query.target_latency = 2_s;
      query.now = now;
      const auto chosen = entry.choose(query);
      const bool is_remote = chosen->server.failure_domain == "vz-jug";
      const attempt sent = entry.begin_attempt(*chosen, prefixes, now);
      entry.end_attempt(sent, is_remote ? attempt_end::connect_failed : attempt_end::completed,
                        now);
      remote += is_remote ? 1 : 0;
    }
    return remote;
  };
  CPPUNIT_ASSERT(count_remote_attempts(40) <= 6);
  now = now + 20_s;
  CPPUNIT_ASSERT(count_remote_attempts(10) >= 1);
}

TEST_THAT(retry_budget, allows_a_fraction_of_the_requests_and_a_share_of_the_slack) {
  retry_budget_settings settings;
  settings.ratio = 0.2;
  settings.slack = 12;
  settings.safety_factor = 1.0;
  const time_point now{1'000'000};
  retry_budget budget(settings, now - 60_s);
  for (int request = 0; request < 50; ++request) {
    budget.on_request("forecast", now);
  }
  const budget_share share{6, std::nullopt};
  int allowed = 0;
  while (budget.take("forecast", share, now).allowed) {
    ++allowed;
  }
  CPPUNIT_ASSERT_EQUAL(12, allowed);
  CPPUNIT_ASSERT(!budget.take("forecast", share, now + 9_s).allowed);
  CPPUNIT_ASSERT(budget.take("forecast", share, now + 10_s + 1_ms).allowed);
}

// With many long prompts and many gap-sensitive streams at once, most of the streams would be late
// beside the prompts.
TEST_THAT(dispatcher, reserves_servers_for_gap_sensitive_streams) {
  fleet_fixture fleet(40);
  dispatcher first(fleet.list, "zg-istok", 1);
  dispatcher second(fleet.list, "vz-jug", 2);
  for (dispatcher* entry : {&first, &second}) {
    (void)fleet.choose(*entry, prompt_about(1, 1));
    fleet.report_peer_work(*entry, 2, 2'000);
  }
  std::set<std::string> stream_servers;
  std::set<std::string> prompt_servers;
  for (std::uint64_t request = 1; request <= 100; ++request) {
    stream_servers.insert(fleet.choose_stream(first, request).server.id);
    stream_servers.insert(fleet.choose_stream(second, request).server.id);
    prompt_servers.insert(fleet.choose(first, prompt_about(request, request)).server.id);
    prompt_servers.insert(fleet.choose(second, prompt_about(request, request)).server.id);
  }
  // 80 streams, 12 per reserved server.
  CPPUNIT_ASSERT(stream_servers.size() <= 7);
  for (const std::string& server : stream_servers) {
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, prompt_servers.count(server));
  }
}

// In a burst of long prompts that fills all servers, a reserve for streams would delay more answers
// than it saves.
TEST_THAT(dispatcher, reserves_no_server_while_prompts_wait_long) {
  fleet_fixture fleet(40);
  dispatcher entry(fleet.list, "zg-istok", 1);
  (void)fleet.choose(entry, prompt_about(1, 1));
  fleet.report_peer_work(entry, 2, 80'000);
  std::set<std::string> prompt_servers;
  for (std::uint64_t topic = 1; topic <= 400; ++topic) {
    const placement chosen = fleet.choose(entry, prompt_about(topic, topic));
    CPPUNIT_ASSERT(!chosen.reserved_for_streams);
    prompt_servers.insert(chosen.server.id);
  }
  CPPUNIT_ASSERT_EQUAL(std::size_t{40}, prompt_servers.size());
}

TEST_THAT(dispatcher, reserves_no_server_while_no_gap_sensitive_streams_run) {
  fleet_fixture fleet(40);
  dispatcher entry(fleet.list, "zg-istok", 1);
  (void)fleet.choose(entry, prompt_about(1, 1));
  fleet.report_peer_work(entry, 0, 2'000);
  CPPUNIT_ASSERT(!fleet.choose(entry, prompt_about(2, 2)).reserved_for_streams);
  CPPUNIT_ASSERT(!fleet.choose_stream(entry, 3).reserved_for_streams);
}

TEST_THAT(dispatcher, sends_streams_elsewhere_when_the_reserved_servers_are_full) {
  fleet_fixture fleet(40);
  dispatcher entry(fleet.list, "zg-istok", 1);
  (void)fleet.choose(entry, prompt_about(1, 1));
  fleet.report_peer_work(entry, 1, 2'000);
  bool spilled = false;
  for (std::uint64_t request = 1; request <= 1'000 && !spilled; ++request) {
    const placement chosen = fleet.choose_stream(entry, request);
    (void)entry.begin_attempt(chosen, fleet_fixture::short_prompt(request), fleet.now);
    spilled = !chosen.reserved_for_streams;
  }
  CPPUNIT_ASSERT(spilled);
}

// While prompts wait long, streams go to the servers that cache their shared parts, as without a
// reserve.
TEST_THAT(dispatcher, places_streams_by_shared_parts_without_a_reserve) {
  fleet_fixture fleet(40);
  dispatcher entry(fleet.list, "zg-istok", 1);
  (void)fleet.choose(entry, prompt_about(1, 1));
  fleet.report_peer_work(entry, 2, 80'000);
  for (std::uint64_t request = 1; request <= 50; ++request) {
    const placement chosen = fleet.choose_stream(entry, request);
    CPPUNIT_ASSERT(!chosen.reserved_for_streams);
    CPPUNIT_ASSERT_EQUAL(0U, chosen.rank);
  }
}

// Each entry VM of a large fleet has a slightly different estimate of the number of running
// streams.
TEST_THAT(dispatcher, reserves_nearly_the_same_servers_on_many_entry_vms) {
  constexpr std::size_t entry_vms = 87;
  constexpr std::uint32_t streams_per_server = 5;
  fleet_fixture fleet(140);
  random_source random(1);
  std::map<std::string, std::size_t> streams;
  std::map<std::string, std::size_t> prompts;
  for (std::size_t vm = 0; vm < entry_vms; ++vm) {
    dispatcher entry(fleet.list, "zg-istok", vm);
    (void)fleet.choose(entry, prompt_about(1, 1));
    fleet.report_peer_work(entry, streams_per_server + static_cast<std::uint32_t>(random.below(2)),
                           2'000);
    for (std::uint64_t request = 1; request <= 20; ++request) {
      ++streams[fleet.choose_stream(entry, vm * 100 + request).server.id];
      ++prompts[fleet.choose(entry, prompt_about(vm * 100 + request, request)).server.id];
    }
  }
  std::size_t disturbed = 0;
  for (const auto& [server, count] : streams) {
    disturbed += prompts.count(server) > 0 ? count : 0;
  }
  CPPUNIT_ASSERT(disturbed * 10 <= entry_vms * 20);
}

TEST_THAT(dispatcher, counts_the_streams_of_each_service_separately) {
  fleet_fixture fleet(40);
  servers::list_snapshot snapshot = *fleet.list.newest();
  ++snapshot.version.revision;
  ++snapshot.id;
  for (std::size_t index = 0; index < 20; ++index) {
    snapshot.entries.push_back(
        make_server("other" + std::to_string(index), static_cast<std::uint16_t>(9000 + index)));
    snapshot.entries.back().service = "other";
  }
  fleet.list.apply(snapshot, fleet.now);
  dispatcher entry(fleet.list, "zg-istok", 1);
  (void)fleet.choose(entry, prompt_about(1, 1));
  fleet.report_peer_work(entry, 2, 2'000);
  (void)fleet.choose_stream(entry, 1);
  const auto prefixes = fleet_fixture::short_prompt(1);
  placement_query query = fleet.stream_query(prefixes);
  query.service = "other";
  CPPUNIT_ASSERT(!entry.choose(query)->reserved_for_streams);
  CPPUNIT_ASSERT(fleet.choose_stream(entry, 2).reserved_for_streams);
}

// Overloaded servers that ask for a pause.

// Sends a request to the chosen server, which asks for a pause.
servers::server_entry pause_one(fleet_fixture& fleet, dispatcher& at, duration time) {
  const auto prefixes = prompt_about(1, 1);
  const placement chosen = fleet.choose(at, prefixes);
  const attempt sent = at.begin_attempt(chosen, prefixes, fleet.now);
  at.pause(sent, time, fleet.now);
  at.end_attempt(sent, attempt_end::pause_requested, fleet.now);
  return chosen.server;
}

TEST_THAT(paused_server, is_not_chosen_before_its_pause_ends) {
  fleet_fixture fleet(3);
  dispatcher at(fleet.list, "zg-istok", 1);
  const servers::server_entry paused = pause_one(fleet, at, 5_s);
  CPPUNIT_ASSERT(!at.accepts_requests(paused, fleet.now));
  fleet.now = fleet.now + 4'999_ms;
  for (std::uint64_t request = 0; request < 100; ++request) {
    CPPUNIT_ASSERT(fleet.choose(at, prompt_about(1, request)).server.id != paused.id);
  }
  fleet.now = fleet.now + 1_ms;
  CPPUNIT_ASSERT(at.accepts_requests(paused, fleet.now));
  CPPUNIT_ASSERT_EQUAL(paused.id, fleet.choose(at, prompt_about(1, 1)).server.id);
}

TEST_THAT(paused_server, keeps_the_latest_of_several_pause_ends) {
  fleet_fixture fleet(2);
  dispatcher at(fleet.list, "zg-istok", 1);
  const auto prefixes = prompt_about(1, 1);
  const attempt sent = at.begin_attempt(fleet.choose(at, prefixes), prefixes, fleet.now);
  at.pause(sent, 5_s, fleet.now);
  fleet.now = fleet.now + 1_s;
  at.pause(sent, 1_s, fleet.now);
  CPPUNIT_ASSERT_EQUAL(std::int64_t{4'000}, at.shortest_remaining_pause("forecast", fleet.now)->ms);
}

TEST_THAT(paused_server, fails_the_choice_if_all_servers_are_paused) {
  fleet_fixture fleet(2);
  dispatcher at(fleet.list, "zg-istok", 1);
  pause_one(fleet, at, 9_s);
  pause_one(fleet, at, 7_s);
  const auto prefixes = prompt_about(1, 1);
  const auto chosen = at.choose(fleet.query_for(prefixes));
  CPPUNIT_ASSERT(!chosen.has_value());
  CPPUNIT_ASSERT(chosen.last_reason() == placement_failure::all_paused);
  CPPUNIT_ASSERT_EQUAL(std::int64_t{7'000}, at.shortest_remaining_pause("forecast", fleet.now)->ms);
}

TEST_THAT(paused_server, stays_paused_while_unlisted_but_not_in_its_next_incarnation) {
  fleet_fixture fleet(2);
  dispatcher at(fleet.list, "zg-istok", 1);
  servers::server_entry paused = pause_one(fleet, at, 9_s);
  const servers::list_snapshot all = *fleet.list.newest();
  servers::list_snapshot without = all;
  without.id = 2;
  std::erase_if(without.entries, [&](const auto& each) { return each.id == paused.id; });
  fleet.list.apply(without, fleet.now);
  at.drop_removed_servers(fleet.now);
  servers::list_snapshot again = all;
  again.id = 3;
  fleet.list.apply(again, fleet.now);
  CPPUNIT_ASSERT(!at.accepts_requests(paused, fleet.now));
  for (servers::server_entry& each : again.entries) {
    each.start_time_ms += each.id == paused.id ? 1 : 0;
  }
  again.id = 4;
  fleet.list.apply(again, fleet.now);
  CPPUNIT_ASSERT_EQUAL(paused.id, fleet.choose(at, prompt_about(1, 1)).server.id);
}

TEST_THAT(leaving_server, accepts_no_requests_though_it_was_chosen_before) {
  fleet_fixture fleet(2);
  dispatcher at(fleet.list, "zg-istok", 1);
  const placement chosen = fleet.choose(at, prompt_about(1, 1));
  CPPUNIT_ASSERT(at.accepts_requests(chosen.server, fleet.now));
  fleet.list.mark_leaving(chosen.server.id, chosen.server.start_time_ms, 4_s, fleet.now);
  CPPUNIT_ASSERT(!at.accepts_requests(chosen.server, fleet.now));
}

}  // namespace
}  // namespace hawthornnotch::dispatch
