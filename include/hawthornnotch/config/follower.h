/// \file
/// Keeps a process's workspace table up to date.  See docs/design/0003-configuration.md.
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
  /// The head is read again after this time even if the watch is silent.
  duration reread_period{8'000};
  /// First pause after a failure; doubles up to the longest.
  duration shortest_backoff{200};
  duration longest_backoff{5'000};
  /// Versions read at once.
  std::size_t reads_in_flight = 4;
};

/// What a peer passes on.
struct workspace_table_update {
  /// True if the peer had a complete table itself.
  bool complete = false;
  workspace_table workspaces;
};

struct follower_view {
  bool ready = false;
  bool watching = false;
  std::size_t workspaces = 0;
  /// Versions that the head names and that are not here yet.
  std::size_t missing = 0;
  std::uint64_t applied = 0;
  /// Versions or heads that could not be parsed.
  std::uint64_t malformed = 0;
  std::uint64_t failures = 0;
};

/// Follows the head key and peers; holds the highest revision seen of each workspace.
///
/// A revision is never replaced by a lower one, whoever offers it: a late answer, an older head, a
/// peer that lags.  Deleted workspaces stay as tombstones in the table.
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

  /// \param table gets each new table whole.
  /// \param changed runs after each post; may be empty.
  static std::unique_ptr<config_follower> create(follower_settings settings,
                                                 platform::client& platform, const clock& time,
                                                 std::uint64_t seed, table_entry& table,
                                                 std::function<void()> changed);
  ~config_follower();
  config_follower(const config_follower&) = delete;
  config_follower& operator=(const config_follower&) = delete;

  /// Reads the head and begins to watch it.  Without this call only peers feed the table.
  void start();
  /// Ends the watch and the reads; peers still feed the table.
  void stop();
  /// Takes over what is higher.  \returns true if anything was.
  bool merge(const workspace_table_update& from);
  /// \returns true once the table was complete; stays true.
  [[nodiscard]] bool ready() const;
  /// \returns what to pass on to peers.
  [[nodiscard]] workspace_table_update table() const;
  void tick();
  [[nodiscard]] follower_view view() const;

 private:
  class engine;
  explicit config_follower(std::shared_ptr<engine> held);
  std::shared_ptr<engine> engine_;
};

}  // namespace hawthornnotch

#endif  // HAWTHORNNOTCH_CONFIG_FOLLOWER_H_
