// Processor time of one decision over replicas and queue length.
// Usage: policy_bench --benchmark_format=json
#include <benchmark/benchmark.h>

#include <deque>
#include <memory>
#include <string>

#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/policy/scheduler.h"

namespace hawthornnotch::policy {
namespace {

constexpr std::uint32_t slots = 8;

std::shared_ptr<fleet_snapshot> make_fleet(std::int64_t replicas) {
  auto fleet = std::make_shared<fleet_snapshot>();
  for (std::int64_t number = 0; number < replicas; ++number) {
    backend_server server;
    server.id = "engine-" + std::to_string(number);
    server.incarnation = "first";
    server.serves = {"model"};
    server.slots = slots;
    fleet->backend_servers.push_back(server);
  }
  entry_vm own;
  own.id = "vm-0";
  fleet->entry_vms.push_back(own);
  return fleet;
}

request_profile make_profile(std::uint64_t number) {
  request_profile profile;
  profile.workspace = "workspace";
  profile.serves = "model";
  profile.traffic_class.name = "class";
  profile.traffic_class.service_tier = static_cast<tier>(number % tier_count);
  constexpr duration longest{3'600'000};
  profile.traffic_class.queue_limit = longest;
  return profile;
}

// Fills all slots and the queue, then each step ends one request, which lets the next one start.
class loaded_scheduler {
 public:
  loaded_scheduler(std::int64_t replicas, std::int64_t queued)
      : decides_(std::move(*scheduler::create(settings(), time_, 1))) {
    decides_->apply(make_fleet(replicas), "vm-0");
    const std::int64_t all = replicas * slots + queued;
    for (std::int64_t number = 0; number < all; ++number) {
      submit();
    }
    take();
  }

  void submit() { decides_->submit(make_profile(number_++)); }

  void take() {
    for (const decision& next : decides_->take_decisions()) {
      if (const auto* sent = std::get_if<assigned>(&next)) {
        running_.push_back(*sent);
      }
    }
  }

  void finish_one() {
    const assigned oldest = running_.front();
    running_.pop_front();
    decides_->on_finished(oldest.request, oldest.attempt, attempt_end::completed);
  }

  [[nodiscard]] std::size_t running() const { return running_.size(); }
  void pass(duration step) { time_.advance(step); }

 private:
  static scheduler_settings settings() {
    scheduler_settings made;
    made.queue.max_queued = 1'000'000;
    made.window.tier_window_fraction = {1.0, 1.0, 1.0, 1.0};
    made.preemption.max_pending = 0;
    return made;
  }

  stepped_clock time_;
  std::unique_ptr<scheduler> decides_;
  std::deque<assigned> running_;
  std::uint64_t number_ = 0;
};

// One submit, one dispatch and one end under a full queue.
void BM_decision(benchmark::State& state) {
  loaded_scheduler loaded(state.range(0), state.range(1));
  for (auto step : state) {
    loaded.submit();
    loaded.finish_one();
    loaded.take();
  }
  state.counters["running"] = static_cast<double>(loaded.running());
}

// Taking decisions when nothing can be done, as every 10 ms.
void BM_idle_turn(benchmark::State& state) {
  loaded_scheduler loaded(state.range(0), state.range(1));
  for (auto step : state) {
    loaded.take();
  }
}

// Taking an unchanged fleet snapshot with new load reports, once a second.
void BM_snapshot(benchmark::State& state) {
  stepped_clock time;
  const auto decides = std::move(*scheduler::create({}, time, 1));
  const auto fleet = make_fleet(state.range(0));
  decides->submit(make_profile(0));
  for (auto step : state) {
    decides->apply(fleet, "vm-0");
  }
}

constexpr std::int64_t usual_queue = 1000;
constexpr std::int64_t usual_replicas = 20;

BENCHMARK(BM_decision)
    ->Args({20, usual_queue})
    ->Args({200, usual_queue})
    ->Args({2000, usual_queue});
BENCHMARK(BM_decision)
    ->Args({usual_replicas, 10})
    ->Args({usual_replicas, 100})
    ->Args({usual_replicas, 1000})
    ->Args({usual_replicas, 10000});
BENCHMARK(BM_idle_turn)->Args({20, usual_queue})->Args({2000, usual_queue});
BENCHMARK(BM_snapshot)->Arg(20)->Arg(200)->Arg(2000);

}  // namespace
}  // namespace hawthornnotch::policy

BENCHMARK_MAIN();
