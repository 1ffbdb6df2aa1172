/// \file
/// Group commit: several independent conditional writes in one platform transaction.
#ifndef HAWTHORNNOTCH_CLAIM_GROUP_COMMIT_H_
#define HAWTHORNNOTCH_CLAIM_GROUP_COMMIT_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <variant>
#include <vector>

#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/platform/client.h"

namespace hawthornnotch::claim {

/// A put that applies only if `condition` holds.  Both are on the same key.
struct conditional_write {
  platform::condition condition;
  platform::put effect;
};

/// The write was applied.
struct write_applied {
  std::int64_t mod_revision = 0;
};
/// The condition did not hold.
struct write_conflict {
  /// Current value of the key, if it exists.
  std::optional<platform::key_value> current;
};
using write_outcome = std::variant<write_applied, write_conflict, platform::platform_failure>;
using write_callback = std::function<void(write_outcome)>;

struct group_commit_limits {
  std::size_t writes_per_commit = 48;
  std::size_t commits_in_flight = 2;
  /// Limit on the total value size in one transaction, in bytes; a larger write is sent alone.
  std::size_t bytes_per_commit = 524'288;
  /// Minimum time between the starts of two transactions; 0 for no limit.
  duration commit_interval{0};
};

/// Batches queued writes into few transactions.  While `commits_in_flight` transactions are
/// outstanding, writes accumulate and are sent together in the next one; otherwise a write is sent
/// without delay.  If some conditions of a transaction don't hold, those writes end with
/// `write_conflict` and the others are requeued for the next transaction.  If a transaction fails,
/// all its writes end with that `platform_failure`; nothing is retried here.
///
/// Example:
///     group->submit({must_be_absent{key}, put{key, value}}, [](write_outcome outcome) { ... });
///     group->send_ready();
/// The caller keeps at most one write outstanding per key.
/// Ownership: outstanding calls keep it alive; refers to the client and the clock.  Thread safety:
/// all members are thread safe; callbacks run without a lock held and never inside `submit`.
class group_commit : public std::enable_shared_from_this<group_commit> {
 public:
  using write_id = std::uint64_t;
  struct counters {
    std::size_t queued = 0;
    std::size_t in_flight = 0;
    std::uint64_t commits = 0;
    std::uint64_t writes = 0;
    std::uint64_t failed_commits = 0;
  };

  static std::shared_ptr<group_commit> create(platform::client& platform, const clock& time,
                                              group_commit_limits limits);

  /// Queues one write; the next `send_ready` may send it.
  write_id submit(conditional_write write, write_callback done);
  /// Removes a write from the queue.
  /// \returns true if the write was never sent; its callback will not run.
  [[nodiscard]] bool cancel(write_id id);
  /// Sends queued writes as far as the limits allow.  Call this again as time passes.
  void send_ready();
  [[nodiscard]] counters view() const;

 private:
  struct queued_write {
    write_id id = 0;
    conditional_write write;
    write_callback done;
  };
  using batch = std::vector<queued_write>;

  group_commit(platform::client& platform, const clock& time, group_commit_limits limits);
  std::shared_ptr<batch> take_batch();
  void send(const std::shared_ptr<batch>& writes);
  void on_response(
      const std::shared_ptr<batch>& writes,
      const result<platform::transaction_outcome, platform::platform_failure>& response);
  // Requeues the writes whose conditions hold.  \returns the others.
  batch requeue_nonconflicting(batch& writes, const std::vector<platform::key_value>& current);

  platform::client& platform_;
  const clock& time_;
  const group_commit_limits limits_;
  mutable std::mutex mutex_;
  std::deque<queued_write> queue_;
  write_id last_id_ = 0;
  time_point next_commit_at_;
  counters counters_;
};

}  // namespace hawthornnotch::claim

#endif  // HAWTHORNNOTCH_CLAIM_GROUP_COMMIT_H_
