#include <unistd.h>

#include <iostream>

#include "hawthornnotch/config/json_reader.h"
#include "hawthornnotch/ctl/command.h"
#include "hawthornnotch/ctl/run.h"
#include "hawthornnotch/ctl/settings.h"

namespace {

using namespace hawthornnotch;

int run_command(const ctl::command_line& line) {
  const auto object = read_object_file(line.settings_file);
  if (!object) {
    std::cerr << line.settings_file << ": " << describe(object.last_reason()) << "\n";
    return exit_bad_settings;
  }
  const auto tool_settings = ctl::parse_settings(*object);
  if (!tool_settings) {
    std::cerr << line.settings_file << ": " << describe(tool_settings.last_reason()) << "\n";
    return exit_bad_settings;
  }
  const bool terminal = isatty(STDERR_FILENO) == 1;
  return static_cast<int>(ctl::run(line, *tool_settings, std::cout, std::cerr, terminal));
}

}  // namespace

int main(int argc, char** argv) {
  const auto parsed = ctl::parse_command_line({argv + 1, argv + argc});
  if (!parsed) {
    std::cerr << parsed.last_reason().detail << "\n";
    return static_cast<int>(parsed.last_reason().code);
  }
  return std::visit(overloaded{[](const ctl::command_line& line) { return run_command(line); },
                               [](const ctl::help_requested&) {
                                 std::cout << ctl::usage;
                                 return 0;
                               }},
                    *parsed);
}
