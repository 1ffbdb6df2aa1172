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

void inbox::deliver(const policy::decision& what) {
  std::visit(overloaded{
                 [this](const policy::assigned& to) { events_.emplace_back(to); },
                 [this](const policy::refused& why) { events_.emplace_back(why); },
                 [this](const policy::preempted&) {
                   preempted_ = true;
                   interrupt();
                 },
             },
             what);
  wake_.cancel();
}

void inbox::note_caller_left() {
  caller_left_ = true;
  interrupt();
  wake_.cancel();
}

asio::awaitable<inbox_event> inbox::next() {
  while (!caller_left_ && events_.empty()) {
    std::ignore = co_await wake_.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  if (caller_left_) {
    co_return caller_left{};
  }
  inbox_event event = std::move(events_.front());
  events_.pop_front();
  co_return event;
}

}  // namespace hawthornnotch::router::internal
