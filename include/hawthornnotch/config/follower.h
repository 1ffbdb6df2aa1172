/// \file
/// Keeps a process's workspace table in sync with the store.  See
/// docs/design/0003-configuration.md.
#ifndef HAWTHORNNOTCH_CONFIG_FOLLOWER_H_
#define HAWTHORNNOTCH_CONFIG_FOLLOWER_H_

#include <cstdint>
#include <functional>
#include <memory>

#include "hawthornnotch/base/blackboard.h"
#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/config/model.h"
#include "hawthornnotch/platform/client.h"

namespace hawthornnotch {

struct follower_settings {
  /// Interval after which the head is read again even if the watch reports no change.
  duration resync_interval{8'000};
  /// Delay after the first failure; doubles with each further one up to `max_backoff`.
  duration min_backoff{200};
  duration max_backoff{5'000};
  /// Versions read concurrently.
  std::size_t max_concurrent_reads = 4;
};

/// A workspace table as peers exchange it.
struct workspace_table_update {
  /// True if the sender's table was complete.
  bool complete = false;
  workspace_table workspaces;
};

struct follower_view {
  bool ready = false;
  bool watching = false;
  std::size_t workspaces = 0;
  /// Versions that the head names and that have not been read yet.
  std::size_t missing = 0;
  /// Versions merged into the table.
  std::uint64_t applied = 0;
  /// Versions or heads that could not be parsed.
  std::uint64_t malformed = 0;
  /// Failed reads and watches.
  std::uint64_t failures = 0;
};

/// Follows the head key and peers; keeps the highest known revision of each workspace.
///
/// A revision is never replaced by a lower one from a delayed response, an older head or a stale
/// peer.  Deleted workspaces stay in the table as tombstones.  Failed reads and watches are retried
/// with exponential backoff, malformed versions after `max_backoff`; meanwhile the table keeps its
/// last known revisions.
///
/// Example:
///     auto follower = config_follower::create({}, platform, time, seed, table_entry, {});
///     follower->start();
///     // about every 50 ms
///     follower->tick();
/// Ownership: refers to client, clock and table, which outlive it.  Thread safety: all members are
/// thread safe; `changed` runs without a lock held.
class config_follower {
 public:
  using table_entry = entry<workspace_table>;

  /// \param table receives each new table as a whole.
  /// \param changed runs after each update of `table`; may be empty.
  static std::unique_ptr<config_follower> create(follower_settings settings,
                                                 platform::client& platform, const clock& time,
                                                 std::uint64_t seed, table_entry& table,
                                                 std::function<void()> changed);
  ~config_follower();
  config_follower(const config_follower&) = delete;
  config_follower& operator=(const config_follower&) = delete;

  /// Reads the head and starts to watch it.  Until then the table is updated by peers only.
  void start();
  /// Cancels the watch and ignores outstanding reads; `merge` still updates the table.
  void stop();
  /// Merges a peer's table: the higher revision of each workspace wins.
  /// \returns true if a new table was published.
  bool merge(const workspace_table_update& from);
  /// \returns true once the table has been complete; stays true.
  [[nodiscard]] bool ready() const;
  /// \returns the update to send to peers.
  [[nodiscard]] workspace_table_update table() const;
  /// Starts due reads; call it about every 50 ms.
  void tick();
  [[nodiscard]] follower_view view() const;

 private:
  class state_machine;
  explicit config_follower(std::shared_ptr<state_machine> implementation);
  std::shared_ptr<state_machine> state_machine_;
};

}  // namespace hawthornnotch

#endif  // HAWTHORNNOTCH_CONFIG_FOLLOWER_H_
