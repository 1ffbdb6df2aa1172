/// \file
/// The running batch of a stand-in engine: slots, waiting requests, prefix cache, lagging report.
#ifndef HAWTHORNNOTCH_STANDIN_ENGINE_BATCH_H_
#define HAWTHORNNOTCH_STANDIN_ENGINE_BATCH_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <utility>

namespace hawthornnotch::standin {

/// Set when the caller has gone; wakes whatever waits for it.
struct cancellation {
  bool requested = false;
  boost::asio::steady_timer* waiting = nullptr;
  void request() {
    requested = true;
    if (waiting != nullptr) {
      waiting->cancel();
    }
  }
};

/// The slots of a continuous batch and the requests that wait for one.
///
/// Ownership: outlives its requests.  Thread safety: none; used on one thread.
class engine_batch {
 public:
  using clock = std::chrono::steady_clock;
  struct load {
    std::size_t running = 0;
    std::size_t waiting = 0;
  };

  engine_batch(std::size_t slots, std::chrono::microseconds report_lag)
      : slots_(slots), report_lag_(report_lag) {}
  /// Waits for a slot.  \returns false if cancelled before it had one.
  boost::asio::awaitable<bool> acquire(std::int64_t priority, cancellation& cancelled);
  /// Gives a slot back to the first waiting request.
  void release();
  [[nodiscard]] load current() const { return {running_, waiting_.size()}; }
  /// \returns the load as it was one lag ago.
  load reported();

 private:
  void record();

  std::size_t slots_;
  std::chrono::microseconds report_lag_;
  std::size_t running_ = 0;
  std::uint64_t arrivals_ = 0;
  /// By priority and arrival; the timer is cancelled when the slot is handed over.
  std::map<std::pair<std::int64_t, std::uint64_t>, boost::asio::steady_timer*> waiting_;
  std::deque<std::pair<clock::time_point, load>> history_;
};

/// Remembers the most recently used prefixes.  Thread safety: none.
class prefix_cache {
 public:
  explicit prefix_cache(std::size_t limit) : limit_(limit) {}
  /// \returns whether the prefix was known; it is known from now on.
  bool touch(std::uint64_t prefix);

 private:
  std::size_t limit_;
  std::list<std::uint64_t> recent_;
  std::map<std::uint64_t, std::list<std::uint64_t>::iterator> known_;
};

}  // namespace hawthornnotch::standin

#endif  // HAWTHORNNOTCH_STANDIN_ENGINE_BATCH_H_
