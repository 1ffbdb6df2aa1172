// One request's place at the dispatch desk.
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

struct caller_left {};
// What may happen to a request that waits.
using inbox_event = std::variant<policy::assigned, policy::refused, caller_left>;

// Decisions for one request, handed over on the request's strand.
//
// Thread safety: `executor` from any thread, all else on the request's strand.
class inbox {
 public:
  explicit inbox(const boost::asio::any_io_executor& strand) : wake_(strand) {
    wake_.expires_at(boost::asio::steady_timer::time_point::max());
  }
  [[nodiscard]] boost::asio::any_io_executor executor() { return wake_.get_executor(); }

  void deliver(const policy::decision& what);
  void note_caller_left();
  // Waits for the next event.  A caller that left goes before any decision.
  boost::asio::awaitable<inbox_event> next();
  // Called when a running try has to stop: its caller left or it was preempted.
  void on_interrupt(std::function<void()> action) { interrupt_ = std::move(action); }
  [[nodiscard]] bool caller_has_left() const { return caller_left_; }
  // \returns whether the running try was preempted; asking clears it.
  bool take_preempted() { return std::exchange(preempted_, false); }

 private:
  void interrupt();

  boost::asio::steady_timer wake_;
  std::deque<inbox_event> events_;
  std::function<void()> interrupt_;
  bool caller_left_ = false;
  bool preempted_ = false;
};

}  // namespace hawthornnotch::router::internal

#endif  // HAWTHORNNOTCH_SRC_ROUTER_INBOX_H_
