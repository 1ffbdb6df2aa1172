/// \file
/// Counts requests by window and workspace, and sums the counts of all entry VMs.
#ifndef HAWTHORNNOTCH_USAGE_USAGE_LEDGER_H_
#define HAWTHORNNOTCH_USAGE_USAGE_LEDGER_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/replication/replicated_table.h"

namespace hawthornnotch::usage {

/// Requests by workspace.
using workspace_counts = std::map<std::string, std::int64_t>;

/// Counts the requests that began to run at this VM and publishes the counts as records.
///
/// A record holds up to 63 workspaces of one window; a window with more takes several records.  The
/// subjects of the records are reused, that of the window farthest from the current one first,
/// since a process has a limited number of them: those of one-part windows last for 11 windows,
/// those of five-part windows for two.
///
/// Example:
///     usage_ledger ledger(table, 5_s);
///     ledger.count("alpha", time.at(now));
///     ledger.publish(time.at(now), now);   // four times a second
/// Ownership: refers to the table, which outlives it.  Thread safety: none.
class usage_ledger {
 public:
  usage_ledger(replication::replicated_table& table, duration window_length)
      : table_(table), window_length_(window_length) {}

  /// Counts a request that began to run at `true_now`.  A name that does not fit into a record is
  /// not counted.
  void count(std::string_view workspace, time_point true_now);
  /// Writes counts that have changed: those of a window that has ended at once, those of the
  /// current one every 2 s.
  void publish(time_point true_now, time_point now);
  /// \returns the counts of all known processes, those of earlier processes of this VM included.
  [[nodiscard]] workspace_counts totals(std::int64_t window, time_point now);
  /// \returns how many requests and records were left out because they exceeded a bound.
  [[nodiscard]] std::uint64_t dropped() const { return dropped_; }
  [[nodiscard]] std::uint64_t counted() const { return counted_; }

 private:
  static constexpr std::size_t max_records = 11;
  struct window_counts {
    /// In the order of their first request, so that a workspace stays in one part.
    std::vector<std::pair<std::string, std::int64_t>> counts;
    std::map<std::string, std::size_t, std::less<>> index;
    /// Parts with counts that are not written yet.
    std::vector<bool> changed_parts;
    time_point written_at;
  };
  struct slot {
    std::int64_t window = 0;
    std::size_t part = 0;
    bool operator==(const slot&) const = default;
  };

  void write(std::int64_t window, window_counts& counts, std::int64_t current, time_point now);
  [[nodiscard]] std::optional<std::size_t> slot_for(const slot& wanted, std::int64_t current);

  replication::replicated_table& table_;
  duration window_length_;
  std::map<std::int64_t, window_counts> windows_;
  std::array<std::optional<slot>, max_records> slots_;
  std::uint64_t dropped_ = 0;
  std::uint64_t counted_ = 0;
};

}  // namespace hawthornnotch::usage

#endif  // HAWTHORNNOTCH_USAGE_USAGE_LEDGER_H_
