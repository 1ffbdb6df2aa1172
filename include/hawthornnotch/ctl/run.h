/// \file
/// Runs the commands of hawthornnotchctl.
///
/// Each command returns a report, or a failure with an exit code and a message. A report may also
/// carry an exit code other than `done`, as when a wait times out.
#ifndef HAWTHORNNOTCH_CTL_RUN_H_
#define HAWTHORNNOTCH_CTL_RUN_H_

#include "hawthornnotch/base/result.h"
#include "hawthornnotch/ctl/command.h"
#include "hawthornnotch/ctl/exit_code.h"
#include "hawthornnotch/ctl/report.h"
#include "hawthornnotch/ctl/session.h"

namespace hawthornnotch::ctl {

using command_result = result<report, command_failure>;

/// Workspaces and templates.
command_result run(const config_validate& arguments, session& remote);
command_result run(const config_show& arguments, session& remote);
command_result run(const config_set& arguments, session& remote);
command_result run(const config_status& arguments, session& remote);
command_result run(const config_find& arguments, session& remote);
/// VMs.
command_result run(const vm_announce& arguments, session& remote);
command_result run(const vm_leave& arguments, session& remote);
command_result run(const vm_list& arguments, session& remote);
/// Processes.
command_result run(const process_dump& arguments, session& remote);
command_result run(const request_explain& arguments, session& remote);
command_result run(const process_drain& arguments, session& remote);

/// Runs a command, prints its result to `out` and its failure to `err`.
/// \param is_terminal whether `err` is a terminal.
/// \returns the exit code of the program.
exit_code run(const command_line& line, const settings& tool_settings, std::ostream& out,
              std::ostream& err, bool is_terminal);

}  // namespace hawthornnotch::ctl

#endif  // HAWTHORNNOTCH_CTL_RUN_H_
