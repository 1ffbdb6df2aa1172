#include "hawthornnotch/ctl/run.h"

#include <ostream>

namespace hawthornnotch::ctl {

exit_code run(const command_line& line, const settings& tool_settings, std::ostream& out,
              std::ostream& err, bool is_terminal) {
  progress progress_line(err, is_terminal);
  auto remote = session::open(tool_settings, progress_line);
  if (!remote) {
    err << remote.last_reason().detail << "\n";
    return remote.last_reason().code;
  }
  const auto outcome = std::visit(
      [&remote](const auto& arguments) { return run(arguments, **remote); }, line.requested);
  progress_line.close();
  if (!outcome) {
    err << outcome.last_reason().detail << "\n";
    return outcome.last_reason().code;
  }
  print(outcome->body, line.output, out);
  if (!outcome->note.empty()) {
    err << outcome->note << "\n";
  }
  return outcome->code;
}

}  // namespace hawthornnotch::ctl
