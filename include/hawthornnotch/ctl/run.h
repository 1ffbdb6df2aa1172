/// \file
/// The commands of the operators' tool.
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
command_result run(const config_validate& what, session& remote);
command_result run(const config_show& what, session& remote);
command_result run(const config_set& what, session& remote);
command_result run(const config_status& what, session& remote);
command_result run(const config_find& what, session& remote);
/// VMs.
command_result run(const vm_announce& what, session& remote);
command_result run(const vm_leave& what, session& remote);
command_result run(const vm_list& what, session& remote);
/// Processes.
command_result run(const process_dump& what, session& remote);
command_result run(const request_explain& what, session& remote);
command_result run(const process_drain& what, session& remote);

/// Runs a command, prints its result to `out` and its failure to `err`.
/// \param terminal whether `err` is a terminal.
/// \returns how the program is to exit.
exit_code run(const command_line& line, const settings& with, std::ostream& out, std::ostream& err,
              bool terminal);

}  // namespace hawthornnotch::ctl

#endif  // HAWTHORNNOTCH_CTL_RUN_H_
