/// \file
/// How a command of the operators' tool ends.
#ifndef HAWTHORNNOTCH_CTL_EXIT_CODE_H_
#define HAWTHORNNOTCH_CTL_EXIT_CODE_H_

#include <cstdint>
#include <string>

namespace hawthornnotch::ctl {

/// Exit codes of hawthornnotchctl; they stay as they are from release to release.
enum class exit_code : std::uint8_t {
  done = 0,
  /// The command line, the settings or a given file is refused; nothing was changed.
  bad_input = 2,
  /// Somebody else's change came first; nothing was changed.
  conflict = 3,
  /// The platform or a process does not answer; nothing was changed.
  unreachable = 4,
  /// The change may or may not have been made; the message says how to ask again.
  unknown = 5,
  /// Made, but not in force everywhere, or not finished, within the time to wait.
  not_in_time = 6,
  /// There is no such workspace, template, VM or request.
  absent = 7,
};

/// Why a command has no result.
struct command_failure {
  exit_code code = exit_code::bad_input;
  /// What it was about, for operators.
  std::string detail;
};

}  // namespace hawthornnotch::ctl

#endif  // HAWTHORNNOTCH_CTL_EXIT_CODE_H_
