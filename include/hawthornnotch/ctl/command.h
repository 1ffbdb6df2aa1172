/// \file
/// The command line of the operators' tool as typed commands.
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

/// Checks a workspace or template file; writes nothing.
struct config_validate {
  std::string file;
  /// Template to expand with, instead of the stored one.
  std::string template_file;
};
struct config_show {
  std::string name;
  bool is_template = false;
};
struct config_set {
  std::string file;
  /// Revision the change was made from; without it the file's, else the current one.
  std::optional<std::uint64_t> base_revision;
  bool wait = false;
};
/// Which revision is accepted, and in force at each agent.
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
  command what;
  std::string settings_file;
  output_format output = output_format::table;
};

/// Asked for help: not a failure, nothing to do.
struct help_wanted {};

extern const char* const usage;

result<std::variant<command_line, help_wanted>, command_failure> parse_command_line(
    const std::vector<std::string>& arguments);

}  // namespace hawthornnotch::ctl

#endif  // HAWTHORNNOTCH_CTL_COMMAND_H_
