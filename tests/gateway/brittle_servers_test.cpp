// Guards against brittle servers that fall over under the requests that they have to reject.
#include <algorithm>
#include <atomic>
#include <chrono>
#include <deque>
#include <future>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <tuple>
#include <vector>

#include "gateway_fixture.h"
#include "test_case.h"

namespace hawthornnotch::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

// Servers that name themselves brittle and let nobody wait.
class brittle_servers {
 public:
  // Of each server, as its entry in the list says.
  static constexpr int slots = 8;
  static constexpr std::size_t refusals_per_second = 3;

  fake_server::behaviour behaviour() {
    auto state = std::make_shared<server_state>();
    servers_.push_back(state);
    return [state](const http_request& request,
                   net::response_writer& writer) -> boost::asio::awaitable<void> {
      constexpr milliseconds work_time{150};
      http_response response;
      response.headers.emplace_back("X-Attempt-Id", request.header("X-Attempt-Id").value_or(""));
      response.headers.emplace_back("Server-Brittle", std::to_string(refusals_per_second));
      const int running = ++state->running;
      const std::string load = std::to_string(std::min(running, slots)) + ",0,8";
      response.headers.emplace_back("X-Instance-Load", load);
      if (running > slots) {
        state->record_refusal();
        response.status = 503;
        response.headers.emplace_back("X-Not-Executed", "1");
      } else {
        boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, work_time);
        co_await timer.async_wait(boost::asio::use_awaitable);
        response.headers.emplace_back("X-Response-Seal", "seal");
        ++state->served;
      }
      --state->running;
      std::ignore = co_await writer.send(std::move(response));
    };
  }

  // \returns how often a server rejected more than it bears in a second, from `since` on.
  std::size_t count_falls(steady_clock::time_point since) {
    std::size_t falls = 0;
    for (const auto& server : servers_) {
      falls += server->count_falls(since);
    }
    return falls;
  }
  int count_served() {
    int served = 0;
    for (const auto& server : servers_) {
      served += server->served;
    }
    return served;
  }

 private:
  struct server_state {
    std::atomic<int> running{0};
    std::atomic<int> served{0};
    std::mutex mutex;
    std::vector<steady_clock::time_point> refused_at;

    void record_refusal() {
      const std::lock_guard lock(mutex);
      refused_at.push_back(steady_clock::now());
    }
    std::size_t count_falls(steady_clock::time_point since) {
      const std::lock_guard lock(mutex);
      std::size_t falls = 0;
      std::deque<steady_clock::time_point> within;
      for (const auto& at : refused_at) {
        if (at < since) {
          continue;
        }
        within.push_back(at);
        while (at - within.front() > std::chrono::seconds(1)) {
          within.pop_front();
        }
        if (within.size() > refusals_per_second) {
          ++falls;
          within.clear();
        }
      }
      return falls;
    }
  };
  std::vector<std::shared_ptr<server_state>> servers_;
};

TEST_THAT(brittle_servers, are_not_made_to_reject_more_than_they_bear) {
  constexpr std::size_t server_count = 4;
  constexpr std::size_t vm_count = 3;
  constexpr std::size_t callers_per_vm = 24;
  // The time in which servers don't count yet, and the time in which they do.
  constexpr milliseconds settle_time{3'000};
  constexpr milliseconds counted_time{4'000};
  brittle_servers servers;
  std::vector<std::unique_ptr<gateway_fixture>> vms;
  for (std::size_t number = 0; number < vm_count; ++number) {
    vms.push_back(std::make_unique<gateway_fixture>());
  }
  for (std::size_t number = 0; number < server_count; ++number) {
    fake_server& server =
        vms[0]->add_server("s" + std::to_string(number), "stations", servers.behaviour());
    for (std::size_t other = 1; other < vm_count; ++other) {
      vms[other]->list(server, "stations");
    }
  }
  std::vector<endpoint> seeds;
  for (std::size_t number = 0; number < vm_count; ++number) {
    vms[number]->start_vm("entry-" + std::to_string(number), seeds);
    seeds = {vms[0]->peers()};
  }
  vms[0]->await([&] { return vms[0]->metric("hawthornnotch_live_entry_vms") == 3.0; });
  const auto counted_from = steady_clock::now() + settle_time;
  const auto end = counted_from + counted_time;
  std::vector<std::future<void>> callers;
  for (std::size_t number = 0; number < vm_count * callers_per_vm; ++number) {
    callers.push_back(std::async(std::launch::async, [&, number] {
      for (int call = 0; steady_clock::now() < end; ++call) {
        const std::string id = std::to_string(number) + "-" + std::to_string(call);
        const auto answer = vms[number % vm_count]->call(make_request("POST", "/order/1", id));
        const bool refused = answer && answer->status == 503;
        std::this_thread::sleep_for(milliseconds(refused ? 100 : 0));
      }
    }));
  }
  std::this_thread::sleep_until(counted_from);
  const int served_before = servers.count_served();
  callers.clear();
  // What the servers could have served in the counted time, of which a part is expected.
  constexpr int possible = server_count * brittle_servers::slots * 4'000 / 150;
  CPPUNIT_ASSERT_GREATER(possible / 2, servers.count_served() - served_before);
  constexpr std::size_t allowed_falls = 2 + server_count / 10;
  CPPUNIT_ASSERT_LESSEQUAL(allowed_falls, servers.count_falls(counted_from));
}

}  // namespace
}  // namespace hawthornnotch::test
