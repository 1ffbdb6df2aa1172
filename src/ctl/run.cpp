#include "hawthornnotch/ctl/run.h"

#include <ostream>

namespace hawthornnotch::ctl {

exit_code run(const command_line& line, const settings& with, std::ostream& out, std::ostream& err,
              bool terminal) {
  progress shown(err, terminal);
  auto remote = session::open(with, shown);
  if (!remote) {
    err << remote.last_reason().detail << "\n";
    return remote.last_reason().code;
  }
  const auto outcome =
      std::visit([&remote](const auto& what) { return run(what, **remote); }, line.what);
  shown.close();
  if (!outcome) {
    err << outcome.last_reason().detail << "\n";
    return outcome.last_reason().code;
  }
  print(outcome->what, line.output, out);
  if (!outcome->note.empty()) {
    err << outcome->note << "\n";
  }
  return outcome->code;
}

}  // namespace hawthornnotch::ctl
