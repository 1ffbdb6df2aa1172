#include "hawthornnotch/lease/order_planner.h"

#include <algorithm>
#include <set>

#include "test_case.h"

namespace hawthornnotch::lease {
namespace {

using namespace literals;

// Simulated engines, with or without a fencing check, that carry out orders.
class engines {
 public:
  explicit engines(int count, bool checks_fencing_number = true) {
    for (int number = 0; number < count; ++number) {
      backend_server server;
      server.id = "e" + std::to_string(number);
      server.incarnation = "i1";
      server.checks_fencing = checks_fencing_number;
      fleet.backend_servers.push_back(server);
    }
  }
  backend_server& at(int number) { return fleet.backend_servers.at(number); }
  void report(const clock& time) {
    fleet.reports.clear();
    for (const auto& server : fleet.backend_servers) {
      if (dead.count(server.id) == 0) {
        fleet.reports.push_back({server.id, 0, 0, time.now()});
      }
    }
  }
  engine_observation observe(const engine_order& order) {
    return {find_server(order.backend_server).serves, fencing[order.backend_server]};
  }
  order_outcome send(const engine_order& order) {
    std::uint64_t& highest = fencing[order.backend_server];
    backend_server& server = find_server(order.backend_server);
    if (server.checks_fencing && order.fencing < highest) {
      return order_outcome::refused_old_number;
    }
    highest = std::max(highest, order.fencing);
    server.serves.push_back(order.model);
    ++loads;
    return order_outcome::carried_out;
  }

  fleet_snapshot fleet;
  std::set<std::string> dead;
  std::map<std::string, std::uint64_t> fencing;
  int loads = 0;

 private:
  backend_server& find_server(const std::string& id) {
    return *std::find_if(fleet.backend_servers.begin(), fleet.backend_servers.end(),
                         [&id](const backend_server& server) { return server.id == id; });
  }
};

planner_settings two_replicas_of_m() {
  planner_settings settings;
  settings.replicas = {{"m", 2}};
  return settings;
}

// Makes one plan and carries out its orders.
void run_once(order_planner& planner, engines& all, const clock& time, std::uint64_t fencing) {
  all.report(time);
  for (const auto& order : planner.plan(fencing, all.fleet)) {
    if (planner.still_needed(order, all.observe(order))) {
      planner.complete(order, all.send(order));
    }
  }
}

void run_for(order_planner& planner, engines& all, stepped_clock& time, std::uint64_t fencing,
             int seconds) {
  for (int second = 0; second < seconds; ++second) {
    time.advance(1_s);
    run_once(planner, all, time, fencing);
  }
}

TEST_THAT(order_planner, loads_a_model_with_too_few_live_replicas_on_another_server) {
  stepped_clock time;
  engines all(4);
  all.at(0).serves = {"m"};
  all.at(1).serves = {"m"};
  order_planner planner(two_replicas_of_m(), time);
  run_for(planner, all, time, 1, 120);
  CPPUNIT_ASSERT_EQUAL(0, all.loads);
  all.dead.insert("e1");
  run_for(planner, all, time, 1, 60);
  CPPUNIT_ASSERT_EQUAL(1, all.loads);
  all.at(0).leaving = true;
  run_for(planner, all, time, 1, 60);
  CPPUNIT_ASSERT_EQUAL(2, all.loads);
  CPPUNIT_ASSERT(planner.missing().empty());
}

TEST_THAT(order_planner, waits_until_a_new_holder_has_seen_reports) {
  stepped_clock time;
  engines all(3);
  all.at(0).serves = {"m"};
  all.at(1).serves = {"m"};
  auto settings = two_replicas_of_m();
  settings.load_period = 1_s;
  order_planner planner(settings, time);
  // At first only the engine without the model has reported, so the others look dead.
  all.dead = {"e0", "e1"};
  run_for(planner, all, time, 1, 10);
  all.dead.clear();
  run_for(planner, all, time, 1, 30);
  CPPUNIT_ASSERT_EQUAL(0, all.loads);
}

TEST_THAT(order_planner, keeps_the_load_rate_limit_across_changes_of_holder) {
  stepped_clock time;
  engines all(200);
  planner_settings settings;
  settings.replicas = {{"m", 200}};
  order_planner holders[] = {order_planner(settings, time), order_planner(settings, time)};
  constexpr std::uint64_t terms = 12;
  constexpr int seconds_per_term = 100;
  for (std::uint64_t term = 1; term <= terms; ++term) {
    run_for(holders[term % 2], all, time, term, seconds_per_term);
  }
  CPPUNIT_ASSERT(all.loads > 20);
  CPPUNIT_ASSERT(all.loads <= static_cast<int>(terms) * seconds_per_term / 30);
}

TEST_THAT(order_planner, carries_no_load_tokens_over_a_change_of_holder) {
  stepped_clock time;
  engines all(200);
  planner_settings settings;
  settings.replicas = {{"m", 200}};
  std::vector<order_planner> holders(4, order_planner(settings, time));
  // Each holder first has the lease for a long time without missing replicas; then all replicas are
  // missing and terms are short.
  std::uint64_t term = 0;
  for (auto& holder : holders) {
    auto empty = engines(0);
    run_for(holder, empty, time, ++term, 200);
  }
  for (auto& holder : holders) {
    run_for(holder, all, time, ++term, 20);
  }
  CPPUNIT_ASSERT(all.loads <= 2 + 4 * 20 / 30);
}

TEST_THAT(order_planner, has_at_most_one_outstanding_order_per_server_even_if_the_answer_is_lost) {
  stepped_clock time;
  engines all(1);
  planner_settings settings;
  settings.replicas = {{"m", 1}, {"n", 1}};
  order_planner planner(settings, time);
  all.report(time);
  (void)planner.plan(1, all.fleet);
  time.advance(60_s);
  all.report(time);
  const auto first = planner.plan(1, all.fleet);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, first.size());
  planner.complete(first.front(), order_outcome::unknown);
  time.advance(60_s);
  all.report(time);
  CPPUNIT_ASSERT(planner.plan(1, all.fleet).empty());
  time.advance(300_s);
  all.report(time);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, planner.plan(1, all.fleet).size());
}

TEST_THAT(order_planner, stops_when_an_engine_has_seen_a_higher_number) {
  for (const bool checks_fencing_number : {true, false}) {
    stepped_clock time;
    engines all(3, checks_fencing_number);
    order_planner old_holder(two_replicas_of_m(), time);
    order_planner new_holder(two_replicas_of_m(), time);
    all.report(time);
    (void)old_holder.plan(1, all.fleet);
    time.advance(60_s);
    all.report(time);
    // The old holder is paused between planning and sending while the new one acts.
    const auto late = old_holder.plan(1, all.fleet);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, late.size());
    (void)new_holder.plan(2, all.fleet);
    time.advance(60_s);
    run_once(new_holder, all, time, 2);
    CPPUNIT_ASSERT_EQUAL(2, all.loads);
    CPPUNIT_ASSERT(!old_holder.still_needed(late.front(), {{}, 2}));
    for (const auto& order : late) {
      CPPUNIT_ASSERT(!old_holder.still_needed(order, all.observe(order)));
      const auto outcome = all.send(order);
      CPPUNIT_ASSERT_EQUAL(checks_fencing_number, outcome == order_outcome::refused_old_number);
    }
    time.advance(60_s);
    all.report(time);
    CPPUNIT_ASSERT(old_holder.plan(1, all.fleet).empty());
  }
}

TEST_THAT(order_planner, drops_an_order_if_the_model_is_already_loaded) {
  stepped_clock time;
  engines all(2);
  order_planner planner(two_replicas_of_m(), time);
  all.report(time);
  (void)planner.plan(1, all.fleet);
  time.advance(60_s);
  all.report(time);
  const auto orders = planner.plan(1, all.fleet);
  all.at(0).serves = {"m"};
  CPPUNIT_ASSERT(!planner.still_needed(orders.at(0), all.observe(orders.at(0))));
  CPPUNIT_ASSERT(planner.still_needed(orders.at(1), all.observe(orders.at(1))));
}

}  // namespace
}  // namespace hawthornnotch::lease
