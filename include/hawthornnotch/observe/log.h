/// \file
/// Structured log lines on standard output, one for each event.
#ifndef HAWTHORNNOTCH_OBSERVE_LOG_H_
#define HAWTHORNNOTCH_OBSERVE_LOG_H_

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/observe/field.h"

namespace hawthornnotch::observe {

enum class level : std::uint8_t { debug, info, warning, error };
enum class log_format : std::uint8_t { json, key_value };

std::string_view to_string(level severity);

struct log_settings {
  /// Events below it are dropped.
  level threshold = level::info;
  log_format format = log_format::json;
};

/// Starts logging for this process; a second call replaces the settings.  Lines are written by a
/// thread of the log's own: a blocked reader of standard output never blocks the caller, lines
/// beyond a bounded backlog are dropped and counted.
/// \param program name of the program, \param vm identity of the VM: both stand in every line.
void start_logging(log_settings settings, std::string_view program, std::string_view vm);

/// Writes out what is waiting and ends the thread.  Also happens at the process's normal exit.
void stop_logging();

/// \returns whether an event of this level would be written.
bool is_logged(level severity);

/// \returns lines dropped since the start because the backlog was full.
std::uint64_t dropped_lines();

/// Writes one event.  Lines of one event beyond a rate are left out; the next one that is written
/// is followed by a line `lines_suppressed` that says how many.  Costs one atomic read where the
/// level is below the threshold or logging has not been started.  Never pass prompt or answer text.
/// Thread safe.
void log_event(level severity, std::string_view event, std::initializer_list<field> fields);

/// Who writes a line and when.
struct line_origin {
  std::string_view program;
  std::string_view vm;
  /// Calendar time.
  time_point at;
};

/// \returns the line of one event, without a line end.
std::string format_line(log_format format, const line_origin& origin, level severity,
                        std::string_view event, std::initializer_list<field> fields);

}  // namespace hawthornnotch::observe

#endif  // HAWTHORNNOTCH_OBSERVE_LOG_H_
