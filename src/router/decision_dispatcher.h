// Delivers scheduler decisions to the requests that wait for them.
#ifndef HAWTHORNNOTCH_SRC_ROUTER_DECISION_DISPATCHER_H_
#define HAWTHORNNOTCH_SRC_ROUTER_DECISION_DISPATCHER_H_

#include <array>
#include <atomic>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <memory>
#include <mutex>
#include <shared_mutex>
#include <unordered_map>

#include "hawthornnotch/policy/scheduler.h"
#include "inbox.h"

namespace hawthornnotch::router::internal {

// Takes decisions from the scheduler, which any thread may drive, and posts each one to the inbox
// of its request, on that request's strand.
//
// Failures: a decision for a ticket that was forgotten is dropped.
// Thread safety: all members are thread safe; the inboxes are sharded by ticket, with a lock per
// shard.
class decision_dispatcher {
 public:
  explicit decision_dispatcher(policy::scheduler& scheduler) : scheduler_(scheduler) {}

  struct submission {
    policy::ticket ticket = 0;
    std::shared_ptr<inbox> events;
  };
  // Submits a request to the scheduler.  Its decisions arrive in the inbox, on `strand`.
  submission submit(policy::request_profile profile, const boost::asio::any_io_executor& strand);
  // Removes the inbox of a ticket that the scheduler has forgotten.
  void forget(policy::ticket ticket);
  // Delivers all pending decisions.  One thread does so at a time; a call during that time returns
  // at once and makes that thread repeat.
  void pump();
  // Calls `pump` every few milliseconds until the executor stops.
  boost::asio::awaitable<void> pump_periodically();

 private:
  struct shard {
    std::mutex mutex;
    std::unordered_map<policy::ticket, std::shared_ptr<inbox>> inboxes;
  };
  static constexpr std::size_t shard_count = 16;

  shard& shard_of(policy::ticket ticket) { return shards_.at(ticket % shard_count); }
  std::shared_ptr<inbox> find(policy::ticket ticket);
  void deliver_decision(const policy::decision& decision);
  static void post_decision(const std::shared_ptr<inbox>& recipient,
                            const policy::decision& decision);

  policy::scheduler& scheduler_;
  std::mutex pump_mutex_;
  std::atomic<std::uint64_t> pump_requests_{0};
  // Locked shared while a request is submitted and its inbox registered.  A decision without an
  // inbox is looked up again under the exclusive lock, since its request may be between the two
  // steps.
  std::shared_mutex submit_mutex_;
  std::array<shard, shard_count> shards_;
};

}  // namespace hawthornnotch::router::internal

#endif  // HAWTHORNNOTCH_SRC_ROUTER_DECISION_DISPATCHER_H_
