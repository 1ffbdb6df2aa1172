#include "inbox.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <tuple>

#include "hawthornnotch/base/result.h"

namespace hawthornnotch::router::internal {

namespace asio = boost::asio;

void inbox::interrupt() {
  if (interrupt_) {
    interrupt_();
  }
}

void inbox::deliver(const policy::decision& decision) {
  std::visit(overloaded{
                 [this](const policy::assigned& assigned) { events_.emplace_back(assigned); },
                 [this](const policy::refused& refused) { events_.emplace_back(refused); },
                 [this](const policy::preempted&) {
                   preempted_ = true;
                   interrupt();
                 },
             },
             decision);
  wake_timer_.cancel();
}

void inbox::deliver_caller_left() {
  caller_left_ = true;
  interrupt();
  wake_timer_.cancel();
}

asio::awaitable<inbox_event> inbox::next() {
  while (!caller_left_ && events_.empty()) {
    std::ignore = co_await wake_timer_.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  if (caller_left_) {
    co_return caller_left{};
  }
  inbox_event event = std::move(events_.front());
  events_.pop_front();
  co_return event;
}

}  // namespace hawthornnotch::router::internal
