// Between the scheduler, which any thread may drive, and the requests that wait for it.
#ifndef HAWTHORNNOTCH_SRC_ROUTER_DISPATCH_DESK_H_
#define HAWTHORNNOTCH_SRC_ROUTER_DISPATCH_DESK_H_

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

// Hands each decision of the scheduler to the strand of the request it is for.
//
// Thread safety: all members are thread safe; tickets are in shards, each under its own lock.
class dispatch_desk {
 public:
  explicit dispatch_desk(policy::scheduler& scheduler) : scheduler_(scheduler) {}

  struct place {
    policy::ticket ticket = 0;
    std::shared_ptr<inbox> events;
  };
  // Queues a request; its decisions come to the inbox on `strand`.
  place submit(policy::request_profile profile, const boost::asio::any_io_executor& strand);
  // To be called once the scheduler has forgotten the ticket.
  void forget(policy::ticket ticket);
  // Takes decisions and hands them out; one thread at a time, the others' wishes are merged.
  void pump();
  // Pumps every few milliseconds until the executor stops.
  boost::asio::awaitable<void> pump_for_ever();

 private:
  struct shard {
    std::mutex mutex;
    std::unordered_map<policy::ticket, std::shared_ptr<inbox>> inboxes;
  };
  static constexpr std::size_t shard_count = 16;

  shard& shard_of(policy::ticket ticket) { return shards_.at(ticket % shard_count); }
  std::shared_ptr<inbox> find(policy::ticket ticket);
  void hand_out(const policy::decision& what);
  static void post_to(const std::shared_ptr<inbox>& to, const policy::decision& what);

  policy::scheduler& scheduler_;
  std::mutex pump_mutex_;
  std::atomic<std::uint64_t> pumps_wanted_{0};
  // Shared while a request is being entered; a decision that finds no inbox waits for those.
  std::shared_mutex entering_;
  std::array<shard, shard_count> shards_;
};

}  // namespace hawthornnotch::router::internal

#endif  // HAWTHORNNOTCH_SRC_ROUTER_DISPATCH_DESK_H_
