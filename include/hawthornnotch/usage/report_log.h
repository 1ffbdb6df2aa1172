/// \file
/// The usage reports whose content is fixed, as kept in the platform's store.
#ifndef HAWTHORNNOTCH_USAGE_REPORT_LOG_H_
#define HAWTHORNNOTCH_USAGE_REPORT_LOG_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "hawthornnotch/base/result.h"
#include "hawthornnotch/duties/control_call.h"

namespace hawthornnotch::usage {

/// A report whose content does not change any more.
struct fixed_report {
  duties::usage_report report;
  /// Not to be sent (again).
  bool sent = false;
  bool operator==(const fixed_report&) const = default;
};

/// Value of the key `hn/duty/usage`.
struct report_log {
  static constexpr std::size_t max_reports = 8;

  /// Era of the store in which it was written.  Another era shows that the store was restored
  /// since, so that reports may have been sent that the log lacks.
  std::int64_t era = 0;
  /// Earlier windows than this one are not counted any more: they may have been reported before the
  /// store was restored.
  std::int64_t first_window = 0;
  /// By window, the newest last.
  std::vector<fixed_report> reports;
  bool operator==(const report_log&) const = default;

  /// \returns the first window that may still be fixed; windows are fixed in ascending order.
  [[nodiscard]] std::int64_t next_window() const;
  /// \returns the report of a window, or null if there is none.
  [[nodiscard]] fixed_report* find(std::int64_t window);
  /// Inserts a report at its place.  \pre find(window) is null
  void insert(fixed_report added);
  /// Drops the oldest reports beyond the limit.
  void trim();
};

enum class log_failure : std::uint8_t { malformed };

[[nodiscard]] std::string encode(const report_log& log);
/// Strict: refuses unknown keys, other types, windows out of order and negative counts.
[[nodiscard]] result<report_log, log_failure> decode_report_log(std::string_view text);

}  // namespace hawthornnotch::usage

#endif  // HAWTHORNNOTCH_USAGE_REPORT_LOG_H_
