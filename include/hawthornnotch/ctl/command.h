/// \file
/// Parses the command line of hawthornnotchctl into typed commands.
///
/// Each struct holds the arguments of one command.
#ifndef HAWTHORNNOTCH_CTL_COMMAND_H_
#define HAWTHORNNOTCH_CTL_COMMAND_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "hawthornnotch/base/result.h"
#include "hawthornnotch/ctl/exit_code.h"
#include "hawthornnotch/member/fleet.h"

namespace hawthornnotch::ctl {

/// Validates a workspace or template file without writing anything.
struct config_validate {
  std::string file;
  /// File of the template to expand with; the stored template if empty.
  std::string template_file;
};
struct config_show {
  std::string name;
  bool is_template = false;
};
struct config_set {
  std::string file;
  /// Revision that the edit is based on. Defaults to the one in the file, else to the current one.
  std::optional<std::uint64_t> base_revision;
  bool wait = false;
};
/// Shows the accepted revision and the one in force at each agent.
struct config_status {
  std::string workspace;
};
struct config_find {
  std::string edit_id;
};
struct vm_announce {
  std::string file;
};
struct vm_leave {
  std::string id;
};
struct vm_list {};
struct process_dump {
  endpoint address;
};
struct request_explain {
  std::string request_id;
};
struct process_drain {
  endpoint address;
  bool wait = false;
};

using command =
    std::variant<config_validate, config_show, config_set, config_status, config_find, vm_announce,
                 vm_leave, vm_list, process_dump, request_explain, process_drain>;

enum class output_format : std::uint8_t { table, json };

struct command_line {
  command requested;
  std::string settings_file;
  output_format output = output_format::table;
};

/// The command line asks for help, which is not a failure.
struct help_requested {};

/// Help text; docopt derives the accepted syntax from it.
extern const char* const usage;

/// \param arguments the command line without the program name.
/// \returns the command, or `exit_code::bad_input` if the syntax or an argument's value is invalid.
result<std::variant<command_line, help_requested>, command_failure> parse_command_line(
    const std::vector<std::string>& arguments);

}  // namespace hawthornnotch::ctl

#endif  // HAWTHORNNOTCH_CTL_COMMAND_H_
