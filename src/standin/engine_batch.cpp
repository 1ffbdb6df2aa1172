#include "hawthornnotch/standin/engine_batch.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace hawthornnotch::standin {
namespace {

constexpr std::size_t history_limit = 20'000;

}  // namespace

boost::asio::awaitable<bool> engine_batch::acquire(std::int64_t priority, cancellation& cancelled) {
  if (running_ < slots_) {
    ++running_;
    record();
    co_return true;
  }
  boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor,
                                  boost::asio::steady_timer::time_point::max());
  const auto place = std::make_pair(priority, arrivals_++);
  waiting_.emplace(place, &timer);
  record();
  cancelled.waiting = &timer;
  boost::system::error_code ignored;
  if (!cancelled.requested) {
    co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
  }
  cancelled.waiting = nullptr;
  // A request that is no longer in the queue was handed a slot, even if it was cancelled since.
  const bool still_waiting = waiting_.erase(place) > 0;
  record();
  if (!still_waiting && cancelled.requested) {
    release();
  }
  co_return !still_waiting && !cancelled.requested;
}

void engine_batch::release() {
  if (waiting_.empty()) {
    --running_;
  } else {
    waiting_.begin()->second->cancel();
    waiting_.erase(waiting_.begin());
  }
  record();
}

void engine_batch::record() {
  const auto now = clock::now();
  history_.emplace_back(now, current());
  while (history_.size() > history_limit ||
         (history_.size() > 1 && history_[1].first + report_lag_ <= now)) {
    history_.pop_front();
  }
}

engine_batch::load engine_batch::reported() {
  record();
  return history_.front().first + report_lag_ <= clock::now() ? history_.front().second : load{};
}

bool prefix_cache::touch(std::uint64_t prefix) {
  const auto found = known_.find(prefix);
  if (found != known_.end()) {
    recent_.splice(recent_.begin(), recent_, found->second);
    return true;
  }
  if (limit_ == 0) {
    return false;
  }
  recent_.push_front(prefix);
  known_.emplace(prefix, recent_.begin());
  if (recent_.size() > limit_) {
    known_.erase(recent_.back());
    recent_.pop_back();
  }
  return false;
}

}  // namespace hawthornnotch::standin
