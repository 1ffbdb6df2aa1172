// Random schedules of calls; every rule is checked at every decision.
#include <algorithm>
#include <map>
#include <set>
#include <vector>

#include "hawthornnotch/base/random.h"
#include "hawthornnotch/base/result.h"
#include "policy_case.h"
#include "test_case.h"

namespace hawthornnotch::policy {
namespace {

using namespace literals;

struct tracked {
  tier service_tier = 0;
  bool idempotent = true;
  bool running = false;
  bool bytes_left = false;
  bool has_token = false;
  std::uint32_t attempt = 0;
  std::string server;
  int ends = 0;
};

class random_schedule {
 public:
  explicit random_schedule(std::uint64_t seed) : fixture_(small_settings()), random_(seed) {
    apply();
  }

  void run(int steps) {
    for (int index = 0; index < steps; ++index) {
      submit_some();
      act_on_running();
      if (random_.below(50) == 0) {
        leave_one();
      }
      fixture_.time().advance({static_cast<std::int64_t>(random_.below(40))});
      take();
    }
    drain();
    for (const auto& [request, each] : requests_) {
      CPPUNIT_ASSERT_EQUAL(1, each.ends);
    }
  }
  [[nodiscard]] bool preempted_any() const { return preempted_any_; }
  [[nodiscard]] bool shed_any() const { return shed_any_; }

 private:
  static constexpr int servers = 6;

  static scheduler_settings small_settings() {
    scheduler_settings settings;
    settings.queue.max_queued = 40;
    return settings;
  }

  void apply() {
    auto fleet = std::make_shared<fleet_snapshot>();
    for (int number = 0; number < servers; ++number) {
      backend_server server = policy_case::server(number, false);
      server.leaving = leaving_.contains(server.id);
      fleet->backend_servers.push_back(server);
    }
    entry_vm own;
    own.id = "vm-0";
    fleet->entry_vms.push_back(own);
    fixture_.decides().apply(fleet, "vm-0");
  }

  void leave_one() {
    if (leaving_.size() + 2 < servers) {
      leaving_.insert(policy_case::server(static_cast<int>(random_.below(servers)), false).id);
      apply();
    }
  }

  void submit_some() {
    for (std::uint64_t count = random_.below(4); count > 0; --count) {
      const auto service_tier = static_cast<tier>(random_.below(tier_count));
      request_profile profile = policy_case::profile(service_tier);
      profile.traffic_class.idempotent = random_.below(4) != 0;
      profile.traffic_class.queue_limit = 5_s;
      profile.traffic_class.target.first_token = 500_ms;
      const ticket request = fixture_.decides().submit(profile);
      requests_[request].service_tier = service_tier;
      requests_[request].idempotent = profile.traffic_class.idempotent;
      // Taken at once, so that what waited when a request was shed is known exactly.
      take();
    }
  }

  void act_on_running() {
    for (auto& [request, each] : requests_) {
      if (each.running && random_.below(12) == 0) {
        act(request, each);
      }
    }
  }

  void act(ticket request, tracked& each) {
    scheduler& decides = fixture_.decides();
    switch (random_.below(6)) {
      case 0:
        decides.on_first_token(request, each.attempt);
        decides.on_tokens(request, each.attempt, 3);
        each.has_token = true;
        return;
      case 1:
        each.running = false;
        ++each.ends;
        decides.on_caller_gone(request);
        return;
      case 2:
        fail(request, each, attempt_end::stream_failed);
        return;
      case 3:
        fail(request, each, attempt_end::connect_failed);
        return;
      default:
        each.running = false;
        ++each.ends;
        decides.on_finished(request, each.attempt, attempt_end::completed);
    }
  }

  void fail(ticket request, tracked& each, attempt_end end) {
    each.running = false;
    each.bytes_left = each.bytes_left || end != attempt_end::connect_failed;
    const bool again = fixture_.decides().retry(request, each.attempt, end);
    CPPUNIT_ASSERT(!(again && !each.idempotent && each.bytes_left));
    each.ends += again ? 0 : 1;
  }

  void take() {
    for (const decision& next : fixture_.decides().take_decisions()) {
      std::visit(overloaded{
                     [this](const assigned& sent) { check(sent); },
                     [this](const refused& answer) { check(answer); },
                     [this](const preempted& stopped) { check(stopped); },
                 },
                 next);
    }
  }

  void check(const assigned& sent) {
    tracked& each = requests_.at(sent.request);
    CPPUNIT_ASSERT_EQUAL(0, each.ends);
    CPPUNIT_ASSERT(!each.running);
    CPPUNIT_ASSERT_EQUAL(each.attempt + 1, sent.attempt);
    CPPUNIT_ASSERT(!leaving_.contains(sent.backend_server));
    CPPUNIT_ASSERT(each.idempotent || !each.bytes_left);
    each.running = true;
    each.attempt = sent.attempt;
    each.server = sent.backend_server;
  }

  void check(const refused& answer) {
    tracked& each = requests_.at(answer.request);
    CPPUNIT_ASSERT(answer.retry_after.ms > 0);
    if (answer.reason == refusal::queue_full) {
      shed_any_ = true;
      for (const auto& [request, other] : requests_) {
        const bool waits = !other.running && other.ends == 0 && request != answer.request;
        CPPUNIT_ASSERT(!waits || other.service_tier <= each.service_tier);
      }
    }
    ++each.ends;
  }

  void check(const preempted& stopped) {
    preempted_any_ = true;
    tracked& each = requests_.at(stopped.request);
    CPPUNIT_ASSERT(each.running);
    CPPUNIT_ASSERT(each.idempotent);
    const bool for_higher =
        std::any_of(requests_.begin(), requests_.end(), [&each](const auto& other) {
          const bool waits = !other.second.running || !other.second.has_token;
          return waits && other.second.ends == 0 && other.second.service_tier < each.service_tier;
        });
    CPPUNIT_ASSERT(for_higher);
    each.running = false;
    fixture_.decides().on_finished(stopped.request, each.attempt, attempt_end::preempted);
  }

  void drain() {
    constexpr int most_rounds = 1000;
    for (int round = 0; round < most_rounds; ++round) {
      for (auto& [request, each] : requests_) {
        if (each.running) {
          each.running = false;
          ++each.ends;
          fixture_.decides().on_finished(request, each.attempt, attempt_end::completed);
        }
      }
      fixture_.time().advance(50_ms);
      take();
    }
  }

  policy_case fixture_;
  random_source random_;
  std::set<std::string> leaving_;
  std::map<ticket, tracked> requests_;
  bool preempted_any_ = false;
  bool shed_any_ = false;
};

TEST_THAT(random_schedules, keep_every_rule_of_ends_tiers_retries_and_leaving) {
  constexpr std::uint64_t seeds = 20;
  constexpr int steps = 400;
  bool preempted_any = false;
  bool shed_any = false;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    random_schedule schedule(seed);
    schedule.run(steps);
    preempted_any = preempted_any || schedule.preempted_any();
    shed_any = shed_any || schedule.shed_any();
  }
  // The rules were put to the test.
  CPPUNIT_ASSERT(preempted_any);
  CPPUNIT_ASSERT(shed_any);
}

TEST_THAT(lowest_tier, starts_within_the_longest_gap_and_one_service_time) {
  scheduler_settings settings;
  policy_case fixture(settings);
  fixture.apply_servers(1);
  request_profile lowest = policy_case::profile(3);
  lowest.traffic_class.queue_limit = 600_s;
  for (std::uint32_t slot = 0; slot < policy_case::slots; ++slot) {
    fixture.submit(0);
  }
  std::vector<assigned> running;
  const ticket waits = fixture.decides().submit(lowest);
  const time_point from = fixture.time().now();
  const duration service_time = 500_ms;
  bool started = false;
  while (!started) {
    fixture.submit(0);
    for (const decision& next : fixture.decides().take_decisions()) {
      const auto& sent = std::get<assigned>(next);
      started = started || sent.request == waits;
      running.push_back(sent);
    }
    CPPUNIT_ASSERT(fixture.time().now() - from <= settings.queue.max_dispatch_gap + service_time);
    fixture.time().advance(service_time);
    const assigned first = running.front();
    running.erase(running.begin());
    fixture.decides().on_tokens(first.request, first.attempt, 20);
    fixture.decides().on_finished(first.request, first.attempt, attempt_end::completed);
  }
}

}  // namespace
}  // namespace hawthornnotch::policy
