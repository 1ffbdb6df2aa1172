/// \file
/// Exit codes and failures of hawthornnotchctl.
#ifndef HAWTHORNNOTCH_CTL_EXIT_CODE_H_
#define HAWTHORNNOTCH_CTL_EXIT_CODE_H_

#include <cstdint>
#include <string>

namespace hawthornnotch::ctl {

/// Exit codes of hawthornnotchctl; stable across releases.
enum class exit_code : std::uint8_t {
  done = 0,
  /// The command line, the settings or an input file is invalid; nothing was changed.
  bad_input = 2,
  /// A concurrent or earlier change takes precedence; nothing was changed.
  conflict = 3,
  /// The platform or a process does not respond; nothing was changed.
  unreachable = 4,
  /// The change may or may not have been made; the message says how to find out.
  unknown = 5,
  /// The change was made, but was not in force everywhere, or not finished, before the timeout.
  not_in_time = 6,
  /// The workspace, template, VM or request does not exist.
  absent = 7,
};

/// Reason why a command produced no report.
struct command_failure {
  exit_code code = exit_code::bad_input;
  /// Message for operators.
  std::string detail;
};

}  // namespace hawthornnotch::ctl

#endif  // HAWTHORNNOTCH_CTL_EXIT_CODE_H_
