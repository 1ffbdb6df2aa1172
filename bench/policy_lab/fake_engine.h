/// \file
/// A model engine on a stepped clock: slots, speed, prefix cache, faults.
#ifndef HAWTHORNNOTCH_BENCH_POLICY_LAB_FAKE_ENGINE_H_
#define HAWTHORNNOTCH_BENCH_POLICY_LAB_FAKE_ENGINE_H_

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <vector>

#include "hawthornnotch/base/clock.h"

namespace hawthornnotch::lab {

/// One request at an engine.
struct engine_request {
  std::uint64_t key = 0;
  std::uint8_t priority = 0;
  std::uint32_t prompt_tokens = 0;
  std::uint64_t prefix = 0;
  std::uint32_t prefix_tokens = 0;
  std::uint32_t answer_tokens = 1;
};

/// What an engine tells of one request after a step.
struct engine_event {
  std::uint64_t key = 0;
  std::uint32_t tokens = 0;
  bool finished = false;
  bool failed = false;
  /// At the end: prefill work done, in answer tokens' worth.
  double prefill = 0;
};

/// Batches continuously: a token takes `token_ms` with all slots taken, down to 60 % of it alone.
/// Waiting requests start by priority, then in order of arrival.  Prefill takes a slot and is 20
/// times as fast as answering; a cached prefix costs a tenth.
class fake_engine {
 public:
  fake_engine(std::uint32_t slots, double token_ms) : slots_(slots), token_ms_(token_ms) {}

  /// \returns false if the engine is down: nothing was sent.
  bool submit(const engine_request& request) {
    if (!down_) {
      waiting_[request.priority].push_back({request, 0, 0, 0, 0});
      ++waiting_count_;
    }
    return !down_;
  }

  /// \returns prefill work that was done for the request, in answer tokens' worth.
  double cancel(std::uint64_t key) {
    double prefill = 0;
    for (const stream& each : running_) {
      prefill += each.request.key == key ? each.prefill_done : 0.0;
    }
    std::erase_if(running_, [key](const stream& each) { return each.request.key == key; });
    for (auto& [priority, queue] : waiting_) {
      waiting_count_ -= static_cast<std::uint32_t>(
          std::erase_if(queue, [key](const stream& each) { return each.request.key == key; }));
    }
    return prefill;
  }

  /// Streams break, and nothing can be sent, until `recover`.
  void crash(std::vector<engine_event>& events) {
    down_ = true;
    for (const stream& each : running_) {
      events.push_back({each.request.key, 0, false, true, each.prefill_done});
    }
    for (const auto& [priority, queue] : waiting_) {
      for (const stream& each : queue) {
        events.push_back({each.request.key, 0, false, true, 0.0});
      }
    }
    running_.clear();
    waiting_.clear();
    cached_.clear();
    waiting_count_ = 0;
  }
  void recover() { down_ = false; }
  /// \param factor on the time of each step.
  void slow_down(double factor) { slowdown_ = factor; }

  /// Runs for `step`.  \param events appended in order.
  void advance(duration step, std::vector<engine_event>& events) {
    start_waiting();
    const double load = static_cast<double>(running_.size()) / slots_;
    const double each_ms = token_ms_ * slowdown_ * (alone_part + (1.0 - alone_part) * load);
    const double passed = static_cast<double>(step.ms);
    busy_ms_ += passed * static_cast<double>(running_.size());
    for (stream& each : running_) {
      progress(each, passed / each_ms, events);
    }
    std::erase_if(running_,
                  [](const stream& each) { return each.sent >= each.request.answer_tokens; });
  }

  [[nodiscard]] std::uint32_t running() const {
    return static_cast<std::uint32_t>(running_.size());
  }
  [[nodiscard]] std::uint32_t waiting() const { return waiting_count_; }
  /// \returns slot time used so far, milliseconds.
  [[nodiscard]] double busy_ms() const { return busy_ms_; }
  /// \returns work of a request in answer tokens' worth, with its shared prefix cached.
  [[nodiscard]] static double work(double prompt_tokens, double shared_tokens,
                                   double answer_tokens) {
    const double prompt = prompt_tokens - shared_tokens * (1.0 - cached_part);
    return prompt / prefill_speed + answer_tokens;
  }
  /// \returns work a millisecond with all slots taken.
  [[nodiscard]] double capacity() const { return down_ ? 0.0 : slots_ / (token_ms_ * slowdown_); }
  [[nodiscard]] std::uint32_t slots() const { return slots_; }
  [[nodiscard]] double token_ms() const { return token_ms_; }

 private:
  static constexpr double alone_part = 0.6;
  static constexpr double prefill_speed = 20.0;
  static constexpr double cached_part = 0.1;
  static constexpr std::size_t cached_prefixes = 16;

  struct stream {
    engine_request request;
    double prefill_left = 0;
    double prefill_done = 0;
    double due = 0;
    std::uint32_t sent = 0;
  };

  void start_waiting() {
    for (auto& [priority, queue] : waiting_) {
      while (!queue.empty() && running_.size() < slots_) {
        running_.push_back(queue.front());
        queue.pop_front();
        --waiting_count_;
        stream& started = running_.back();
        started.prefill_left = prefill_work(started.request);
      }
    }
  }

  double prefill_work(const engine_request& request) {
    const auto hit = std::find(cached_.begin(), cached_.end(), request.prefix);
    const bool cached = request.prefix != 0 && hit != cached_.end();
    const double saved = cached ? request.prefix_tokens * (1.0 - cached_part) : 0.0;
    if (cached) {
      cached_.erase(hit);
    }
    if (request.prefix != 0) {
      cached_.push_back(request.prefix);
    }
    if (cached_.size() > cached_prefixes) {
      cached_.pop_front();
    }
    return (request.prompt_tokens - saved) / prefill_speed;
  }

  static void progress(stream& each, double work, std::vector<engine_event>& events) {
    const double prefill = std::min(work, each.prefill_left);
    each.prefill_left -= prefill;
    each.prefill_done += prefill;
    each.due += work - prefill;
    const auto ready = static_cast<std::uint32_t>(each.due);
    const std::uint32_t sent = std::min(ready, each.request.answer_tokens - each.sent);
    each.due -= ready;
    if (sent > 0) {
      each.sent += sent;
      const bool finished = each.sent >= each.request.answer_tokens;
      events.push_back({each.request.key, sent, finished, false, each.prefill_done});
    }
  }

  std::uint32_t slots_;
  double token_ms_;
  double slowdown_ = 1.0;
  bool down_ = false;
  double busy_ms_ = 0;
  std::uint32_t waiting_count_ = 0;
  std::vector<stream> running_;
  std::map<std::uint8_t, std::deque<stream>> waiting_;
  std::deque<std::uint64_t> cached_;
};

}  // namespace hawthornnotch::lab

#endif  // HAWTHORNNOTCH_BENCH_POLICY_LAB_FAKE_ENGINE_H_
