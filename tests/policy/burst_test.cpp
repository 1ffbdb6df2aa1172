// Two routers share fake engines: a burst of the lowest tier at one must not delay the urgent class
// at the other.
#include <algorithm>
#include <map>
#include <memory>
#include <vector>

#include "../../bench/policy_lab/fake_engine.h"
#include "hawthornnotch/base/result.h"
#include "scheduler_fixture.h"
#include "test_case.h"

namespace hawthornnotch::policy {
namespace {

using namespace literals;

struct call {
  int router = 0;
  ticket request = 0;
  std::uint32_t attempt = 0;
  std::uint32_t answer_tokens = 0;
  std::uint32_t sent = 0;
  std::size_t engine = 0;
  std::uint64_t key = 0;
  time_point arrived;
  time_point first_token;
};

class two_routers {
 public:
  two_routers() {
    for (int index = 0; index < engines; ++index) {
      engines_.emplace_back(scheduler_fixture::slots, token_ms);
    }
    for (std::uint64_t seed = 1; seed <= 2; ++seed) {
      routers_.push_back(std::move(*scheduler::create({}, time_, seed)));
    }
    publish();
  }

  std::size_t submit(int router, tier service_tier, std::uint32_t answer_tokens) {
    request_profile profile = scheduler_fixture::profile(service_tier);
    profile.traffic_class.queue_limit = 300_s;
    if (service_tier == 0) {
      profile.traffic_class.target.first_token = 1300_ms;
    }
    call current;
    current.router = router;
    current.answer_tokens = answer_tokens;
    current.arrived = time_.now();
    current.request = routers_.at(router)->submit(profile);
    calls_.push_back(current);
    return calls_.size() - 1;
  }

  void step() {
    if ((time_.now() - time_point{}).ms % 1000 == 0) {
      publish();
    }
    for (int router = 0; router < 2; ++router) {
      for (const decision& next : routers_.at(router)->take_decisions()) {
        carry_out(router, next);
      }
    }
    std::vector<lab::engine_event> events;
    for (lab::fake_engine& engine : engines_) {
      engine.advance(tick, events);
    }
    time_.advance(tick);
    for (const lab::engine_event& event : events) {
      on_event(event);
    }
  }

  [[nodiscard]] const call& at(std::size_t index) const { return calls_.at(index); }

  static constexpr duration tick{5};
  static constexpr int engines = 4;
  static constexpr double token_ms = 20.0;

 private:
  void publish() {
    auto fleet = std::make_shared<fleet_snapshot>();
    for (int index = 0; index < engines; ++index) {
      const lab::fake_engine& engine = engines_.at(index);
      fleet->backend_servers.push_back(scheduler_fixture::server(index, false));
      fleet->reports.push_back(
          {fleet->backend_servers.back().id, engine.running(), engine.waiting(), time_.now()});
    }
    for (int router = 0; router < 2; ++router) {
      entry_vm vm;
      vm.id = "vm-" + std::to_string(router);
      fleet->entry_vms.push_back(vm);
      peer_waiting waiting;
      waiting.vm = vm.id;
      const auto own = routers_.at(router)->view().waiting;
      std::copy(own.begin(), own.end(), std::begin(waiting.by_tier));
      fleet->waiting.push_back(waiting);
    }
    for (int router = 0; router < 2; ++router) {
      routers_.at(router)->apply(fleet, fleet->entry_vms.at(router).id);
    }
  }

  call& find(int router, ticket request) {
    return *std::find_if(calls_.begin(), calls_.end(), [=](const call& current) {
      return current.router == router && current.request == request;
    });
  }

  void carry_out(int router, const decision& next) {
    if (const auto* sent = std::get_if<assigned>(&next)) {
      call& current = find(router, sent->request);
      current.attempt = sent->attempt;
      current.engine = static_cast<std::size_t>(sent->backend_server.back() - '0');
      current.key = next_key_++;
      engines_.at(current.engine)
          .submit(
              {current.key, sent->engine_priority, 20, 0, 0, current.answer_tokens - current.sent});
    } else if (const auto* stopped = std::get_if<preempted>(&next)) {
      call& current = find(router, stopped->request);
      engines_.at(current.engine).cancel(current.key);
      routers_.at(router)->on_finished(current.request, current.attempt, attempt_end::preempted);
    }
  }

  void on_event(const lab::engine_event& event) {
    call& current = *std::find_if(calls_.begin(), calls_.end(),
                                  [&event](const call& other) { return other.key == event.key; });
    scheduler& subject = *routers_.at(current.router);
    if (current.sent == 0) {
      current.first_token = time_.now();
      subject.on_first_token(current.request, current.attempt);
    }
    current.sent += event.tokens;
    subject.on_tokens(current.request, current.attempt, event.tokens);
    if (event.finished) {
      subject.on_finished(current.request, current.attempt, attempt_end::completed);
    }
  }

  stepped_clock time_;
  std::vector<lab::fake_engine> engines_;
  std::vector<std::unique_ptr<scheduler>> routers_;
  std::vector<call> calls_;
  std::uint64_t next_key_ = 1;
};

TEST_THAT(burst_at_one_router, keeps_the_urgent_class_at_another_within_target) {
  constexpr int burst = 300;
  constexpr int urgent = 200;
  constexpr int steps_between = 20;
  two_routers fleet;
  for (int count = 0; count < burst; ++count) {
    fleet.submit(0, 3, 100);
  }
  for (int count = 0; count < 200; ++count) {
    fleet.step();
  }
  int in_target = 0;
  std::vector<std::size_t> urgent_calls;
  for (int count = 0; count < urgent; ++count) {
    urgent_calls.push_back(fleet.submit(1, 0, 20));
    for (int step = 0; step < steps_between; ++step) {
      fleet.step();
    }
  }
  std::uint32_t lowest_tokens = 0;
  for (int index = 0; index < burst; ++index) {
    lowest_tokens += fleet.at(static_cast<std::size_t>(index)).sent;
  }
  for (int count = 0; count < 1000; ++count) {
    fleet.step();
  }
  for (const std::size_t index : urgent_calls) {
    const call& current = fleet.at(index);
    CPPUNIT_ASSERT_EQUAL(current.answer_tokens, current.sent);
    in_target += current.first_token - current.arrived <= 1300_ms ? 1 : 0;
  }
  CPPUNIT_ASSERT(in_target >= urgent * 95 / 100);
  CPPUNIT_ASSERT(lowest_tokens > 0);
}

}  // namespace
}  // namespace hawthornnotch::policy
