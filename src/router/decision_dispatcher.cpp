#include "decision_dispatcher.h"

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

policy::ticket ticket_of(const policy::decision& decision) {
  return std::visit([](const auto& alternative) { return alternative.request; }, decision);
}

}  // namespace

void decision_dispatcher::post_decision(const std::shared_ptr<inbox>& recipient,
                                        const policy::decision& decision) {
  asio::post(recipient->executor(), [recipient, decision] { recipient->deliver(decision); });
}

decision_dispatcher::submission decision_dispatcher::submit(policy::request_profile profile,
                                                            const asio::any_io_executor& strand) {
  submission submitted;
  submitted.events = std::make_shared<inbox>(strand);
  {
    const std::shared_lock submitting(submit_mutex_);
    submitted.ticket = scheduler_.submit(std::move(profile));
    shard& owner = shard_of(submitted.ticket);
    const std::lock_guard lock(owner.mutex);
    owner.inboxes.emplace(submitted.ticket, submitted.events);
  }
  pump();
  return submitted;
}

void decision_dispatcher::forget(policy::ticket ticket) {
  shard& owner = shard_of(ticket);
  {
    const std::lock_guard lock(owner.mutex);
    owner.inboxes.erase(ticket);
  }
  pump();
}

std::shared_ptr<inbox> decision_dispatcher::find(policy::ticket ticket) {
  shard& owner = shard_of(ticket);
  const std::lock_guard lock(owner.mutex);
  const auto found = owner.inboxes.find(ticket);
  return found == owner.inboxes.end() ? nullptr : found->second;
}

void decision_dispatcher::deliver_decision(const policy::decision& decision) {
  const policy::ticket ticket = ticket_of(decision);
  std::shared_ptr<inbox> recipient = find(ticket);
  if (!recipient) {
    const std::unique_lock no_submission(submit_mutex_);
    recipient = find(ticket);
  }
  if (recipient) {
    post_decision(recipient, decision);
  }
}

void decision_dispatcher::pump() {
  std::uint64_t handled_pumps = ++pump_requests_;
  while (true) {
    std::unique_lock lock(pump_mutex_, std::try_to_lock);
    if (!lock.owns_lock()) {
      return;
    }
    for (const policy::decision& decision : scheduler_.take_decisions()) {
      deliver_decision(decision);
    }
    lock.unlock();
    // Another thread may have called `pump` while this one held the lock.
    const std::uint64_t latest = pump_requests_.load();
    if (latest == handled_pumps) {
      return;
    }
    handled_pumps = latest;
  }
}

asio::awaitable<void> decision_dispatcher::pump_periodically() {
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
