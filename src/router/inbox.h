// The queue of events for one request.
#ifndef HAWTHORNNOTCH_SRC_ROUTER_INBOX_H_
#define HAWTHORNNOTCH_SRC_ROUTER_INBOX_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <optional>
#include <variant>

#include "hawthornnotch/policy/scheduler.h"

namespace hawthornnotch::router::internal {

// The caller closed its connection.
struct caller_left {};
// An event that a waiting request handles.
using inbox_event = std::variant<policy::assigned, policy::refused, caller_left>;

// Receives the scheduler's decisions and the caller's departure for one request.  Events that a
// running attempt must react to also call the interrupt action.
//
// Thread safety: `executor` may be called from any thread, all else on the request's strand.
class inbox {
 public:
  explicit inbox(const boost::asio::any_io_executor& strand) : wake_timer_(strand) {
    wake_timer_.expires_at(boost::asio::steady_timer::time_point::max());
  }
  [[nodiscard]] boost::asio::any_io_executor executor() { return wake_timer_.get_executor(); }

  void deliver(const policy::decision& decision);
  void deliver_caller_left();
  // Waits for the next event.  `caller_left` takes precedence over all decisions.
  boost::asio::awaitable<inbox_event> next();
  // Sets the action that stops the running attempt when its caller leaves or it is preempted; null
  // for none.
  void on_interrupt(std::function<void()> action) { interrupt_ = std::move(action); }
  [[nodiscard]] bool caller_has_left() const { return caller_left_; }
  // \returns whether the running attempt was preempted, and clears the flag.
  bool take_preempted() { return std::exchange(preempted_, false); }

 private:
  void interrupt();

  boost::asio::steady_timer wake_timer_;
  std::deque<inbox_event> events_;
  std::function<void()> interrupt_;
  bool caller_left_ = false;
  bool preempted_ = false;
};

}  // namespace hawthornnotch::router::internal

#endif  // HAWTHORNNOTCH_SRC_ROUTER_INBOX_H_
