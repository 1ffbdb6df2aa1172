/// \file
/// Structured logging to standard output, one line per event.
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
  /// Events below this level are not written.
  level threshold = level::info;
  log_format format = log_format::json;
};

/// Starts logging for this process; a second call replaces the settings.  A background thread
/// writes the lines, so a blocked reader of standard output never blocks the caller; lines that do
/// not fit into the bounded queue are dropped and counted.
///
/// \param program name of the program, written in every line.
/// \param vm id of the VM, written in every line.
void start_logging(log_settings settings, std::string_view program, std::string_view vm);

/// Writes the queued lines and stops the thread.  Also runs at normal process exit.
void stop_logging();

/// \returns whether an event of this level would be written.
bool is_logged(level severity);

/// \returns the number of lines dropped since the process started because the queue was full.
std::uint64_t dropped_lines();

/// Logs one event.  Events are rate limited by name: excess lines are suppressed, and the next line
/// of the event is followed by a `lines_suppressed` line with their number.  Costs one atomic read
/// if the level is below the threshold or logging has not been started.  Never pass the text of
/// prompts or responses.  Thread safe.
void log_event(level severity, std::string_view event, std::initializer_list<field> fields);

/// Origin and time of a log line.
struct line_origin {
  std::string_view program;
  std::string_view vm;
  /// Wall-clock time.
  time_point at;
};

/// \returns the log line of one event, without a newline.
std::string format_line(log_format format, const line_origin& origin, level severity,
                        std::string_view event, std::initializer_list<field> fields);

}  // namespace hawthornnotch::observe

#endif  // HAWTHORNNOTCH_OBSERVE_LOG_H_
