// A fleet of entry VMs with old views of each other sends to brittle servers, on a stepped clock.
#include <algorithm>
#include <deque>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "hawthornnotch/base/hash.h"
#include "hawthornnotch/dispatch/dispatcher.h"
#include "test_case.h"

namespace hawthornnotch::dispatch {
namespace {

using namespace literals;

constexpr duration step{10};
constexpr duration run_time{12'000};
// Falls count from this time after the servers first said that they are brittle.
constexpr duration stability{3'000};
// VMs know each other's work as it was this long ago.
constexpr duration view_age{1'500};
constexpr std::uint32_t waiting_places = 2;
constexpr duration work_time{400};
constexpr duration work_spread{400};
// A request takes `work_time` and up to `work_spread` more.
constexpr double mean_work_ms = 600;
// Load of the burst in units of what the servers can run.
constexpr double burst_load = 2.0;
constexpr duration fall_time{3'000};

struct fleet_size {
  std::size_t vms = 1;
  std::size_t servers = 1;
  std::uint32_t slots = 1;
  std::uint32_t rejections_per_s = 1;
};

// One brittle server: runs as many requests as it has slots, and lets few wait.
struct model_server {
  std::string id;
  std::uint32_t held = 0;
  std::deque<time_point> rejected_at;
  std::size_t falls = 0;
  time_point up_again_at;
};

class brittle_fleet {
 public:
  // \param told whether the VMs learn that the servers are brittle.
  brittle_fleet(const fleet_size& size, bool told, std::uint64_t seed)
      : size_(size), told_(told), random_(seed), servers_(size.servers) {
    servers::list_snapshot snapshot;
    snapshot.version.revision = 1;
    for (std::size_t index = 0; index < size.servers; ++index) {
      servers_[index].id = "s" + std::to_string(index);
      servers::server_entry entry;
      entry.id = servers_[index].id;
      entry.start_time_ms = 1;
      entry.service = "stations";
      entry.slots = size.slots;
      snapshot.entries.push_back(entry);
    }
    list_.apply(snapshot, now_);
    std::vector<std::uint64_t> hashes;
    for (std::size_t vm = 0; vm < size.vms; ++vm) {
      hashes.push_back(stable_hash("entry-" + std::to_string(vm)));
    }
    for (std::size_t vm = 0; vm < size.vms; ++vm) {
      vms_.push_back(std::make_unique<dispatcher>(list_, "zone", seed + vm));
      vms_.back()->limits().start("entry-" + std::to_string(vm), now_);
      std::vector<std::uint64_t> others = hashes;
      others.erase(others.begin() + static_cast<std::ptrdiff_t>(vm));
      vms_.back()->limits().set_other_members(others);
    }
  }

  void run() {
    const double capacity = static_cast<double>(size_.servers * size_.slots) / mean_work_ms;
    double due = 0;
    while (now_ < time_point{} + run_time) {
      now_ = now_ + step;
      end_finished();
      exchange_views();
      due += burst_load * capacity * static_cast<double>(step.ms);
      for (; due >= 1; due -= 1) {
        send(random_.below(size_.vms));
      }
    }
  }

  [[nodiscard]] std::size_t falls() const {
    std::size_t falls = 0;
    for (const model_server& each : servers_) {
      falls += each.falls;
    }
    return falls;
  }
  [[nodiscard]] std::size_t served() const { return served_; }
  [[nodiscard]] std::size_t possible() const {
    return static_cast<std::size_t>(static_cast<double>(size_.servers * size_.slots) *
                                    static_cast<double>(run_time.ms) / mean_work_ms);
  }

 private:
  struct running_request {
    time_point ends_at;
    std::size_t vm = 0;
    std::size_t server = 0;
    attempt sent;
    bool operator<(const running_request& other) const { return other.ends_at < ends_at; }
  };

  void send(std::size_t vm) {
    placement_query query;
    query.service = "stations";
    query.target_latency = 1_s;
    query.now = now_;
    const auto chosen = vms_[vm]->choose(query);
    if (!chosen) {
      return;
    }
    const auto server = static_cast<std::size_t>(std::stoul(chosen->server.id.substr(1)));
    attempt sent = vms_[vm]->begin_attempt(*chosen, {}, now_);
    model_server& at = servers_[server];
    if (now_ < at.up_again_at) {
      vms_[vm]->end_attempt(sent, attempt_end::connect_failed, now_);
      return;
    }
    const bool rejected = at.held >= size_.slots + waiting_places;
    at.held += rejected ? 0 : 1;
    if (told_) {
      vms_[vm]->record_room(sent, "stations", size_.rejections_per_s, load_of(at), now_);
    }
    if (rejected) {
      vms_[vm]->record_rejection(sent, "stations", now_);
      vms_[vm]->end_attempt(sent, attempt_end::refused, now_);
      record_rejection(at);
      return;
    }
    const auto spread = static_cast<std::int64_t>(random_.below(work_spread.ms));
    running_.push({now_ + work_time + duration{spread}, vm, server, std::move(sent)});
  }

  [[nodiscard]] reported_load load_of(const model_server& server) const {
    const std::uint32_t running = std::min(server.held, size_.slots);
    return {running, server.held - running, size_.slots};
  }

  void record_rejection(model_server& at) {
    at.rejected_at.push_back(now_);
    while (now_ - at.rejected_at.front() > 1_s) {
      at.rejected_at.pop_front();
    }
    if (now_ >= time_point{} + stability && at.rejected_at.size() > size_.rejections_per_s) {
      ++at.falls;
      at.rejected_at.clear();
      at.up_again_at = now_ + fall_time;
    }
  }

  void end_finished() {
    while (!running_.empty() && running_.top().ends_at <= now_) {
      const running_request done = running_.top();
      running_.pop();
      --servers_[done.server].held;
      vms_[done.vm]->end_attempt(done.sent, attempt_end::completed, now_);
      ++served_;
    }
  }

  void exchange_views() {
    work_view total;
    std::vector<work_view> by_vm(size_.vms);
    for (std::size_t vm = 0; vm < size_.vms; ++vm) {
      for (const relay::server_work& work : vms_[vm]->local_work()) {
        by_vm[vm][work.server] = work;
        total[work.server].running += work.running;
      }
    }
    views_.push_back({std::move(total), std::move(by_vm)});
    const auto kept = static_cast<std::size_t>(view_age.ms / step.ms);
    if (views_.size() <= kept) {
      return;
    }
    constexpr std::size_t exchanges_every = 15;
    if (++steps_ % exchanges_every == 0) {
      for (std::size_t vm = 0; vm < size_.vms; ++vm) {
        work_view others = views_.front().total;
        for (auto& [server, work] : others) {
          work.running -= views_.front().by_vm[vm][server].running;
        }
        vms_[vm]->apply_peer_work(others);
      }
    }
    views_.pop_front();
  }

  using work_view = std::map<std::string, relay::server_work, std::less<>>;
  struct fleet_view {
    work_view total;
    std::vector<work_view> by_vm;
  };

  fleet_size size_;
  bool told_;
  random_source random_;
  time_point now_{};
  servers::server_list list_{servers::server_list_settings{}};
  std::vector<model_server> servers_;
  std::vector<std::unique_ptr<dispatcher>> vms_;
  std::priority_queue<running_request> running_;
  std::deque<fleet_view> views_;
  std::size_t steps_ = 0;
  std::size_t served_ = 0;
};

void expect_few_falls(const fleet_size& size) {
  brittle_fleet untold(size, false, 1);
  untold.run();
  brittle_fleet fleet(size, true, 1);
  fleet.run();
  const std::string what =
      std::to_string(size.vms) + " VMs, " + std::to_string(size.servers) + " servers, N " +
      std::to_string(size.rejections_per_s) + ": " + std::to_string(fleet.falls()) + " falls, " +
      std::to_string(untold.falls()) + " untold; served " + std::to_string(fleet.served()) +
      " of " + std::to_string(fleet.possible()) + ", untold " + std::to_string(untold.served());
  CPPUNIT_ASSERT_MESSAGE(what, fleet.falls() <= 2 + size.servers / 10);
  CPPUNIT_ASSERT_MESSAGE(what, fleet.served() >= fleet.possible() / 2);
}

TEST_THAT(brittle_fleet, of_one_vm_makes_few_servers_fall) { expect_few_falls({1, 4, 6, 1}); }
TEST_THAT(brittle_fleet, of_six_vms_makes_few_servers_fall) {
  expect_few_falls({6, 4, 6, 1});
  expect_few_falls({6, 18, 128, 1});
  expect_few_falls({6, 18, 128, 20});
}
TEST_THAT(brittle_fleet, of_78_vms_makes_few_servers_fall) {
  expect_few_falls({78, 60, 64, 1});
  expect_few_falls({78, 24, 6, 5});
}
TEST_THAT(brittle_fleet, of_295_vms_makes_few_servers_fall) { expect_few_falls({295, 40, 64, 5}); }

}  // namespace
}  // namespace hawthornnotch::dispatch
