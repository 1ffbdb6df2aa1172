#include "dispatch_desk.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <tuple>

#include "hawthornnotch/base/result.h"

namespace hawthornnotch::router::internal {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds pump_period(10);

policy::ticket ticket_of(const policy::decision& what) {
  return std::visit([](const auto& decided) { return decided.request; }, what);
}

}  // namespace

void dispatch_desk::post_to(const std::shared_ptr<inbox>& to, const policy::decision& what) {
  asio::post(to->executor(), [to, what] { to->deliver(what); });
}

dispatch_desk::place dispatch_desk::submit(policy::request_profile profile,
                                           const asio::any_io_executor& strand) {
  place made;
  made.events = std::make_shared<inbox>(strand);
  {
    const std::shared_lock entering(entering_);
    made.ticket = scheduler_.submit(std::move(profile));
    shard& home = shard_of(made.ticket);
    const std::lock_guard lock(home.mutex);
    home.inboxes.emplace(made.ticket, made.events);
  }
  pump();
  return made;
}

void dispatch_desk::forget(policy::ticket ticket) {
  shard& home = shard_of(ticket);
  {
    const std::lock_guard lock(home.mutex);
    home.inboxes.erase(ticket);
  }
  pump();
}

std::shared_ptr<inbox> dispatch_desk::find(policy::ticket ticket) {
  shard& home = shard_of(ticket);
  const std::lock_guard lock(home.mutex);
  const auto found = home.inboxes.find(ticket);
  return found == home.inboxes.end() ? nullptr : found->second;
}

void dispatch_desk::hand_out(const policy::decision& what) {
  const policy::ticket ticket = ticket_of(what);
  std::shared_ptr<inbox> to = find(ticket);
  if (!to) {
    const std::unique_lock all_entered(entering_);
    to = find(ticket);
  }
  if (to) {
    post_to(to, what);
  }
}

void dispatch_desk::pump() {
  std::uint64_t wanted = ++pumps_wanted_;
  while (true) {
    std::unique_lock lock(pump_mutex_, std::try_to_lock);
    if (!lock.owns_lock()) {
      return;
    }
    for (const policy::decision& what : scheduler_.take_decisions()) {
      hand_out(what);
    }
    lock.unlock();
    // Another thread may have asked while this one held the lock.
    const std::uint64_t now = pumps_wanted_.load();
    if (now == wanted) {
      return;
    }
    wanted = now;
  }
}

asio::awaitable<void> dispatch_desk::pump_for_ever() {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  while (true) {
    timer.expires_after(pump_period);
    const auto [error] = co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    if (error) {
      co_return;
    }
    pump();
  }
}

}  // namespace hawthornnotch::router::internal
