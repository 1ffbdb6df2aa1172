// Calls a function periodically.
#ifndef HAWTHORNNOTCH_SRC_GATEWAY_TICKER_H_
#define HAWTHORNNOTCH_SRC_GATEWAY_TICKER_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <utility>

#include "hawthornnotch/base/clock.h"

namespace hawthornnotch::gateway::internal {

// Runs on its executor's thread from `start` until it is destroyed.
class ticker {
 public:
  // \param period pause between calls of `action`.
  ticker(const boost::asio::any_io_executor& executor, duration period,
         std::function<void()> action)
      : timer_(executor), period_(period), action_(std::move(action)) {}
  // Calls `action` now and then after each pause.
  void start() {
    action_();
    timer_.expires_after(std::chrono::milliseconds(period_.ms));
    timer_.async_wait([this](const boost::system::error_code& error) {
      if (!error) {
        start();
      }
    });
  }

 private:
  boost::asio::steady_timer timer_;
  duration period_;
  std::function<void()> action_;
};

}  // namespace hawthornnotch::gateway::internal

#endif  // HAWTHORNNOTCH_SRC_GATEWAY_TICKER_H_
