/// \file
/// Several independent guarded writes in one platform transaction.
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

/// A put that applies only if `guard`, on the same key, holds.
struct guarded_write {
  platform::condition guard;
  platform::put effect;
};

/// The write stands in the store.
struct write_applied {
  std::int64_t mod_revision = 0;
};
/// The guard didn't hold; what stands there, if anything.
struct write_conflict {
  std::optional<platform::key_value> current;
};
using write_outcome = std::variant<write_applied, write_conflict, platform::platform_failure>;
using write_callback = std::function<void(write_outcome)>;

struct group_commit_limits {
  std::size_t writes_per_commit = 48;
  std::size_t commits_in_flight = 2;
  /// Bound of the values in one transaction, bytes; one larger write goes alone.
  std::size_t bytes_per_commit = 524'288;
  /// Least time between the starts of two transactions; 0: none.
  duration commit_interval{0};
};

/// Sends queued writes as few transactions: while `commits_in_flight` are outstanding, writes
/// collect and leave together with the next one.  A write alone leaves at once.  Where some guards
/// of a transaction don't hold, those writes are answered and the others go into the next one.
///
/// Example:
///     group->submit({must_be_absent{key}, put{key, value}}, [](write_outcome seen) { ... });
///     group->pump();
/// The caller has at most one write outstanding per key.
/// Ownership: kept alive by its outstanding calls; refers to the client.  Thread safety: all
/// members are thread safe; callbacks run without a lock held and never inside `submit`.
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

  /// Queues one write; it leaves with the next `pump`.
  write_id submit(guarded_write what, write_callback done);
  /// \returns true if the write never left: its callback will not run.
  [[nodiscard]] bool withdraw(write_id which);
  /// Sends what may leave now; to be called again as time passes.
  void pump();
  [[nodiscard]] counters view() const;

 private:
  struct queued_write {
    write_id id = 0;
    guarded_write what;
    write_callback done;
  };
  using batch = std::vector<queued_write>;

  group_commit(platform::client& platform, const clock& time, group_commit_limits limits);
  std::shared_ptr<batch> take_batch();
  void send(const std::shared_ptr<batch>& writes);
  void finished(const std::shared_ptr<batch>& writes,
                const result<platform::transaction_outcome, platform::platform_failure>& seen);
  batch put_back_unrefused(batch& writes, const std::vector<platform::key_value>& current);

  platform::client& platform_;
  const clock& time_;
  const group_commit_limits limits_;
  mutable std::mutex mutex_;
  std::deque<queued_write> queue_;
  write_id last_id_ = 0;
  time_point may_send_at_;
  counters counters_;
};

}  // namespace hawthornnotch::claim

#endif  // HAWTHORNNOTCH_CLAIM_GROUP_COMMIT_H_
