// The control process of one entry VM.
#include <docopt/docopt.h>

#include <iostream>
#include <string>
#include <variant>

#include "hawthornnotch/agent/agent.h"
#include "hawthornnotch/observe/log.h"

namespace {

using namespace hawthornnotch;

constexpr auto usage = R"(The control process of one entry VM.

Usage:
  hawthornnotch-agent --settings FILE [--check]
  hawthornnotch-agent --help

Options:
  --settings FILE  JSON settings, see docs/AGENT.md.
  --check          Check the settings and exit.
  -h --help        Show this.

Exit codes: 0 stopped on request, or settings valid; 1 could not start; 2 settings or command line
invalid.
)";

constexpr int exit_start_failed = 1;

result<agent::agent_settings, settings_failure> read_settings(const std::string& path) {
  const auto object = read_object_file(path);
  if (!object) {
    return failed{object.last_reason()};
  }
  return agent::parse_agent_settings(*object);
}

void report(const agent::start_failure& reason) {
  std::visit(overloaded{
                 [](const net::net_failure& failure) {
                   std::cerr << "cannot listen: " << net::to_string(failure.kind) << "\n";
                 },
                 [](const platform::platform_failure& /*failure*/) {
                   std::cerr << "no platform address in the settings\n";
                 },
             },
             reason);
}

int run(const std::string& path, bool check_only) {
  auto settings = read_settings(path);
  if (!settings) {
    std::cerr << path << ": " << describe(settings.last_reason()) << "\n";
    return exit_bad_settings;
  }
  if (check_only) {
    std::cout << path << ": settings are valid\n";
    return 0;
  }
  observe::start_logging(settings->log, "hawthornnotch-agent", settings->vm);
  const system_clock time;
  const auto made = agent::agent::create(std::move(*settings), time);
  if (!made) {
    report(made.last_reason());
    return exit_start_failed;
  }
  observe::log_event(observe::level::info, "agent_started", {{"port", (*made)->port()}});
  (*made)->run();
  observe::stop_logging();
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    const auto arguments = docopt::docopt_parse(usage, {argv + 1, argv + argc}, true);
    return run(arguments.at("--settings").asString(), arguments.at("--check").asBool());
  } catch (const docopt::DocoptExitHelp&) {
    std::cout << usage;
    return 0;
  } catch (const std::exception&) {
    std::cerr << usage;
    return exit_bad_settings;
  }
}
