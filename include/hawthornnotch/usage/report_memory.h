/// \file
/// Fixed usage reports as the entry VMs remember them, for the time after a restore of the store.
#ifndef HAWTHORNNOTCH_USAGE_REPORT_MEMORY_H_
#define HAWTHORNNOTCH_USAGE_REPORT_MEMORY_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/replication/replicated_table.h"
#include "hawthornnotch/usage/report_log.h"

namespace hawthornnotch::usage {

/// Publishes the newest fixed reports as records of topic `duty`, and collects those of all VMs.
///
/// A process may have four records of that topic, three of which are used here: the three newest
/// reports of up to 61 workspaces, or one of up to 183.  Larger ones are remembered by this process
/// only.
///
/// Ownership: refers to the table, which outlives it.  Thread safety: none.
class report_memory {
 public:
  /// The content of windows; none where two sources differ.
  using contents = std::map<std::int64_t, std::optional<duties::usage_report>>;

  explicit report_memory(replication::replicated_table& table) : table_(table) {}

  /// Remembers the reports of a log that is in the store.
  void remember(const report_log& fixed, time_point now);
  /// \returns what is remembered here or was published by any process.
  [[nodiscard]] contents recall(time_point now);

 private:
  static constexpr std::size_t max_records = 3;
  struct slot {
    std::int64_t window = 0;
    std::size_t part = 0;
    bool operator==(const slot&) const = default;
  };

  void publish(const duties::usage_report& report, std::int64_t oldest_kept, time_point now);
  [[nodiscard]] bool is_published(const slot& wanted) const;

  replication::replicated_table& table_;
  std::map<std::int64_t, duties::usage_report> own_;
  std::array<std::optional<slot>, max_records> slots_;
};

}  // namespace hawthornnotch::usage

#endif  // HAWTHORNNOTCH_USAGE_REPORT_MEMORY_H_
