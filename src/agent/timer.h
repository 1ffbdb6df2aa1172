// Timers for coroutines.
#ifndef HAWTHORNNOTCH_AGENT_TIMER_H_
#define HAWTHORNNOTCH_AGENT_TIMER_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>

#include "hawthornnotch/base/clock.h"

namespace hawthornnotch::agent {

inline boost::asio::awaitable<void> sleep_for(duration span) {
  boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor,
                                  std::chrono::milliseconds(span.ms));
  boost::system::error_code ignored;
  co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
}

}  // namespace hawthornnotch::agent

#endif  // HAWTHORNNOTCH_AGENT_TIMER_H_
