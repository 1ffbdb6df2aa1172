/// \file
/// What the holder of the duties needs of the part that decides about usage reports.
#ifndef HAWTHORNNOTCH_DUTIES_USAGE_SOURCE_H_
#define HAWTHORNNOTCH_DUTIES_USAGE_SOURCE_H_

#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/duties/control_call.h"

namespace hawthornnotch::duties {

/// Key of the log of reports in the store.
inline constexpr std::string_view usage_log_key = "hn/duty/usage";

/// Nothing is due.
struct idle {};

/// Write the log, if the lease and the log are unchanged.
struct fix_log {
  std::string text;
};

/// Send a report whose content is fixed in the log.
struct send_report {
  usage_report report;
};

using usage_step = std::variant<idle, fix_log, send_report>;

/// Decides about the next step of the holder towards due usage reports.
///
/// In each term the log is read before the first call of `next`, and again after a write that
/// failed or found the log changed.  One step is in progress at a time: `next` is called again only
/// after the end of the last one was reported with `log_read`, `log_written` or `report_ended`.
///
/// Thread safety: none.
class usage_source {
 public:
  virtual ~usage_source() = default;
  /// \param text the log as the store has it; none if there is no log.
  virtual void log_read(const std::optional<std::string>& text, time_point now) = 0;
  [[nodiscard]] virtual usage_step next(time_point now) = 0;
  /// The text of the last `fix_log` is in the store.
  virtual void log_written(time_point now) = 0;
  virtual void report_ended(const usage_report& report, call_outcome outcome, time_point now) = 0;
};

}  // namespace hawthornnotch::duties

#endif  // HAWTHORNNOTCH_DUTIES_USAGE_SOURCE_H_
