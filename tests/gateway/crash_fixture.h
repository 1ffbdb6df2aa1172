// Entry VMs and backend servers of which some requests crash every server that answers them.
#ifndef HAWTHORNNOTCH_TESTS_GATEWAY_CRASH_FIXTURE_H_
#define HAWTHORNNOTCH_TESTS_GATEWAY_CRASH_FIXTURE_H_

#include <algorithm>
#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "gateway_fixture.h"

namespace hawthornnotch::test {

// Entry VMs with the same servers, which crash when they begin to answer a deadly request.  A
// server that has crashed refuses connections; another one is started in its place.
class crash_fixture {
 public:
  struct options {
    std::size_t vms = 1;
    std::string service = "forecast";
    std::function<bool(const http_request&)> is_deadly;
    // Of the first VM; the others have that one.
    std::vector<endpoint> seeds;
  };
  explicit crash_fixture(options chosen) : options_(std::move(chosen)) {
    for (std::size_t number = 0; number < options_.vms; ++number) {
      fixtures_.push_back(std::make_unique<gateway_fixture>());
    }
    constexpr std::size_t server_count = 12;
    for (std::size_t index = 0; index < server_count; ++index) {
      add_server();
    }
    std::vector<endpoint> seeds = options_.seeds;
    for (std::size_t number = 0; number < options_.vms; ++number) {
      fixtures_[number]->start_vm("entry-" + std::to_string(number), seeds);
      seeds = {fixtures_.front()->peers()};
    }
  }
  gateway_fixture& vm(std::size_t number) { return *fixtures_[number % fixtures_.size()]; }

  // Starts a server for each that has crashed.
  void replace_crashed() {
    for (const std::size_t index : take_crashed()) {
      for (const auto& fixture : fixtures_) {
        fixture->store().erase("servers/" + name_of(index));
      }
      add_server();
    }
  }
  std::size_t crashes() {
    const std::lock_guard lock(mutex_);
    return crashes_.size();
  }
  // \returns how many deadly requests arrived later than `settle_time` after the crash of a number.
  std::size_t arrivals_after(std::size_t crash_number, std::chrono::milliseconds settle_time) {
    const std::lock_guard lock(mutex_);
    if (crashes_.size() < crash_number) {
      return 0;
    }
    const auto bound = crashes_[crash_number - 1] + settle_time;
    return static_cast<std::size_t>(
        std::count_if(arrivals_.begin(), arrivals_.end(), [&](auto at) { return at > bound; }));
  }

 private:
  static std::string name_of(std::size_t index) { return "s" + std::to_string(index); }

  void add_server() {
    const std::size_t index = fakes_.size();
    {
      const std::lock_guard lock(mutex_);
      down_.push_back(false);
      fakes_.push_back(nullptr);
    }
    fake_server& added = fixtures_.front()->add_server(
        name_of(index), options_.service,
        [this, index](const http_request& request, net::response_writer& writer) {
          return answer(index, request, writer);
        });
    for (std::size_t number = 1; number < fixtures_.size(); ++number) {
      fixtures_[number]->list(name_of(index), options_.service, added.address());
    }
    const std::lock_guard lock(mutex_);
    fakes_[index] = &added;
  }
  std::vector<std::size_t> take_crashed() {
    const std::lock_guard lock(mutex_);
    return std::exchange(unreplaced_, {});
  }

  boost::asio::awaitable<void> answer(std::size_t index, const http_request& request,
                                      net::response_writer& writer) {
    constexpr std::chrono::milliseconds prefill_time{20};
    constexpr std::chrono::milliseconds end_time{5};
    const bool deadly = options_.is_deadly(request);
    if (deadly) {
      record_arrival(index);
    }
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, prefill_time);
    co_await timer.async_wait(boost::asio::use_awaitable);
    if (deadly) {
      crash(index);
    }
    if (is_down(index)) {
      timer.expires_after(end_time);
      co_await timer.async_wait(boost::asio::use_awaitable);
      writer.abort();
      co_return;
    }
    if (options_.service == "forecast") {
      co_await stream_four(request, writer);
    } else {
      co_await answer_ok(request, writer);
    }
  }
  void record_arrival(std::size_t index) {
    const std::lock_guard lock(mutex_);
    if (!down_[index]) {
      arrivals_.push_back(std::chrono::steady_clock::now());
    }
  }
  void crash(std::size_t index) {
    const std::lock_guard lock(mutex_);
    if (!down_[index]) {
      down_[index] = true;
      fakes_[index]->stop_accepting();
      crashes_.push_back(std::chrono::steady_clock::now());
      unreplaced_.push_back(index);
    }
  }
  bool is_down(std::size_t index) {
    const std::lock_guard lock(mutex_);
    return down_[index];
  }

  options options_;
  std::mutex mutex_;
  std::deque<bool> down_;
  std::deque<fake_server*> fakes_;
  std::vector<std::size_t> unreplaced_;
  std::vector<std::chrono::steady_clock::time_point> crashes_;
  std::vector<std::chrono::steady_clock::time_point> arrivals_;
  // Destroyed first, since their servers refer to the rest.
  std::vector<std::unique_ptr<gateway_fixture>> fixtures_;
};

}  // namespace hawthornnotch::test

#endif  // HAWTHORNNOTCH_TESTS_GATEWAY_CRASH_FIXTURE_H_
