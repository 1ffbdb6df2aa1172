// Random schedules of events; the scheduler's invariants are checked at each decision.
#include <algorithm>
#include <map>
#include <set>
#include <vector>

#include "hawthornnotch/base/random.h"
#include "hawthornnotch/base/result.h"
#include "scheduler_fixture.h"
#include "test_case.h"

namespace hawthornnotch::policy {
namespace {

using namespace literals;

struct tracked_request {
  tier service_tier = 0;
  bool idempotent = true;
  bool running = false;
  bool may_have_run = false;
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
      send_events_to_running();
      if (random_.below(50) == 0) {
        start_leaving_one();
      }
      fixture_.time().advance({static_cast<std::int64_t>(random_.below(40))});
      carry_out_decisions();
    }
    finish_all();
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
      backend_server server = scheduler_fixture::server(number, false);
      server.leaving = leaving_.contains(server.id);
      fleet->backend_servers.push_back(server);
    }
    entry_vm own;
    own.id = "vm-0";
    fleet->entry_vms.push_back(own);
    fixture_.subject().apply(fleet, "vm-0");
  }

  void start_leaving_one() {
    if (leaving_.size() + 2 < servers) {
      leaving_.insert(
          scheduler_fixture::server(static_cast<int>(random_.below(servers)), false).id);
      apply();
    }
  }

  void submit_some() {
    for (std::uint64_t count = random_.below(4); count > 0; --count) {
      const auto service_tier = static_cast<tier>(random_.below(tier_count));
      request_profile profile = scheduler_fixture::profile(service_tier);
      profile.traffic_class.idempotent = random_.below(4) != 0;
      profile.traffic_class.queue_limit = 5_s;
      profile.traffic_class.target.first_token = 500_ms;
      const ticket request = fixture_.subject().submit(profile);
      requests_[request].service_tier = service_tier;
      requests_[request].idempotent = profile.traffic_class.idempotent;
      // Carried out immediately, so that `check` knows exactly what was waiting when a request is
      // shed.
      carry_out_decisions();
    }
  }

  void send_events_to_running() {
    for (auto& [request, each] : requests_) {
      if (each.running && random_.below(12) == 0) {
        send_random_event(request, each);
      }
    }
  }

  void send_random_event(ticket request, tracked_request& each) {
    scheduler& subject = fixture_.subject();
    switch (random_.below(6)) {
      case 0:
        subject.on_first_token(request, each.attempt);
        subject.on_tokens(request, each.attempt, 3);
        each.has_token = true;
        return;
      case 1:
        each.running = false;
        ++each.ends;
        subject.on_caller_gone(request);
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
        subject.on_finished(request, each.attempt, attempt_end::completed);
    }
  }

  void fail(ticket request, tracked_request& each, attempt_end end) {
    each.running = false;
    each.may_have_run = each.may_have_run || end != attempt_end::connect_failed;
    const bool requeued = fixture_.subject().retry(request, each.attempt, end);
    CPPUNIT_ASSERT(!(requeued && !each.idempotent && each.may_have_run));
    each.ends += requeued ? 0 : 1;
  }

  void carry_out_decisions() {
    for (const decision& next : fixture_.subject().take_decisions()) {
      std::visit(overloaded{
                     [this](const assigned& sent) { check(sent); },
                     [this](const refused& answer) { check(answer); },
                     [this](const preempted& stopped) { check(stopped); },
                 },
                 next);
    }
  }

  void check(const assigned& sent) {
    tracked_request& each = requests_.at(sent.request);
    CPPUNIT_ASSERT_EQUAL(0, each.ends);
    CPPUNIT_ASSERT(!each.running);
    CPPUNIT_ASSERT_EQUAL(each.attempt + 1, sent.attempt);
    CPPUNIT_ASSERT(!leaving_.contains(sent.backend_server));
    CPPUNIT_ASSERT(each.idempotent || !each.may_have_run);
    each.running = true;
    each.attempt = sent.attempt;
    each.server = sent.backend_server;
  }

  void check(const refused& answer) {
    tracked_request& each = requests_.at(answer.request);
    CPPUNIT_ASSERT(answer.retry_after.ms > 0);
    if (answer.reason == refusal::queue_full) {
      shed_any_ = true;
      for (const auto& [request, other] : requests_) {
        const bool still_waiting = !other.running && other.ends == 0 && request != answer.request;
        CPPUNIT_ASSERT(!still_waiting || other.service_tier <= each.service_tier);
      }
    }
    ++each.ends;
  }

  void check(const preempted& stopped) {
    preempted_any_ = true;
    tracked_request& each = requests_.at(stopped.request);
    CPPUNIT_ASSERT(each.running);
    CPPUNIT_ASSERT(each.idempotent);
    const bool for_higher =
        std::any_of(requests_.begin(), requests_.end(), [&each](const auto& other) {
          const bool still_waiting = !other.second.running || !other.second.has_token;
          return still_waiting && other.second.ends == 0 &&
                 other.second.service_tier < each.service_tier;
        });
    CPPUNIT_ASSERT(for_higher);
    each.running = false;
    fixture_.subject().on_finished(stopped.request, each.attempt, attempt_end::preempted);
  }

  void finish_all() {
    constexpr int max_rounds = 1000;
    for (int round = 0; round < max_rounds; ++round) {
      for (auto& [request, each] : requests_) {
        if (each.running) {
          each.running = false;
          ++each.ends;
          fixture_.subject().on_finished(request, each.attempt, attempt_end::completed);
        }
      }
      fixture_.time().advance(50_ms);
      carry_out_decisions();
    }
  }

  scheduler_fixture fixture_;
  random_source random_;
  std::set<std::string> leaving_;
  std::map<ticket, tracked_request> requests_;
  bool preempted_any_ = false;
  bool shed_any_ = false;
};

TEST_THAT(random_schedules, keep_the_invariants_of_ends_tiers_retries_and_leaving) {
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
  // The schedules must exercise preemption and shedding.
  CPPUNIT_ASSERT(preempted_any);
  CPPUNIT_ASSERT(shed_any);
}

TEST_THAT(lowest_tier, starts_within_the_maximum_gap_and_one_service_time) {
  scheduler_settings settings;
  scheduler_fixture fixture(settings);
  fixture.apply_servers(1);
  request_profile lowest = scheduler_fixture::profile(3);
  lowest.traffic_class.queue_limit = 600_s;
  for (std::uint32_t slot = 0; slot < scheduler_fixture::slots; ++slot) {
    fixture.submit(0);
  }
  std::vector<assigned> running;
  const ticket waiting_request = fixture.subject().submit(lowest);
  const time_point from = fixture.time().now();
  const duration service_time = 500_ms;
  bool started = false;
  while (!started) {
    fixture.submit(0);
    for (const decision& next : fixture.subject().take_decisions()) {
      const auto& sent = std::get<assigned>(next);
      started = started || sent.request == waiting_request;
      running.push_back(sent);
    }
    CPPUNIT_ASSERT(fixture.time().now() - from <= settings.queue.max_dispatch_gap + service_time);
    fixture.time().advance(service_time);
    const assigned first = running.front();
    running.erase(running.begin());
    fixture.subject().on_tokens(first.request, first.attempt, 20);
    fixture.subject().on_finished(first.request, first.attempt, attempt_end::completed);
  }
}

}  // namespace
}  // namespace hawthornnotch::policy
