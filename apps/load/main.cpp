#include <docopt/docopt.h>

#include <boost/json/serialize.hpp>
#include <fstream>
#include <iostream>
#include <map>
#include <string>
#include <vector>

#include "hawthornnotch/load/results.h"
#include "hawthornnotch/load/runner.h"
#include "hawthornnotch/load/settings.h"

namespace {

using namespace hawthornnotch;
using arguments = std::map<std::string, docopt::value>;

constexpr int exit_held = 0;
constexpr int exit_violated = 1;

constexpr auto usage = R"(Sends a bounded, seeded load to running routers and checks every answer.

Usage:
  hawthornnotch-load --settings FILE [--check] [--router ADDRESS]... [options]
  hawthornnotch-load --compare FILE...
  hawthornnotch-load --plot SVG FILE...
  hawthornnotch-load --help

Options:
  --settings FILE      Settings of the run, JSON.
  --check              Only check the settings.
  --router ADDRESS     Send here instead of to the routers of the settings.
  --label TEXT         Label of the run.
  --seed N             Seed of the schedule.
  --length-s S         Length of the run in seconds.
  --burst-load FACTOR  Demand in the burst as a multiple of the engines' capacity.
  --output FILE        Write the result as JSON.
  --quiet              Print no progress.
  --compare            Print results side by side, with ratios to the first label.
  --plot SVG           Draw attainment by class over offered load.
  -h --help            Show this.

Exit codes: 0 all held; 1 an answer was wrong or an order ran twice; 2 bad settings or command line;
3 a result file cannot be read or written.
)";
constexpr int exit_file = 3;

int refuse(const settings_failure& failure) {
  std::cerr << describe(failure) << "\n";
  return exit_bad_settings;
}

// Options of the command line stand in for keys of the settings, and are checked with them.
void override_keys(const arguments& given, boost::json::object& settings) {
  if (given.at("--label")) {
    settings["label"] = given.at("--label").asString();
  }
  if (given.at("--seed")) {
    settings["seed"] = given.at("--seed").asLong();
  }
  if (given.at("--length-s")) {
    settings["length_s"] = given.at("--length-s").asLong();
  }
  if (given.at("--burst-load")) {
    settings["burst_load"] = std::stod(given.at("--burst-load").asString());
    settings.erase("base_rate_per_s");
  }
  const std::vector<std::string>& routers = given.at("--router").asStringList();
  if (!routers.empty()) {
    settings["routers"] = boost::json::array(routers.begin(), routers.end());
  }
}

int run(const arguments& given) {
  auto object = read_object_file(given.at("--settings").asString());
  if (!object) {
    return refuse(object.last_reason());
  }
  override_keys(given, *object);
  const auto settings = load::parse_load_settings(*object);
  if (!settings) {
    return refuse(settings.last_reason());
  }
  if (given.at("--check").asBool()) {
    std::cout << "settings are right\n";
    return exit_held;
  }
  std::ofstream nowhere;
  std::ostream& progress = given.at("--quiet").asBool() ? nowhere : std::cerr;
  const load::run_result result = load::run_load(*settings, progress);
  std::cout << load::table_of(result);
  if (given.at("--output")) {
    std::ofstream file(given.at("--output").asString());
    file << boost::json::serialize(load::to_json(result)) << "\n";
    if (!file.flush()) {
      std::cerr << "cannot write the result\n";
      return exit_file;
    }
  }
  return result.violated() ? exit_violated : exit_held;
}

int show_results(const arguments& given) {
  std::vector<load::run_result> results;
  for (const std::string& path : given.at("FILE").asStringList()) {
    auto read = load::read_result(path);
    if (!read) {
      const bool missing = read.last_reason() == load::result_file_failure::missing;
      std::cerr << path << (missing ? ": no such file\n" : ": not a result of this tool\n");
      return exit_file;
    }
    results.push_back(*read);
  }
  if (given.at("--compare").asBool()) {
    std::cout << load::compare(results);
    return exit_held;
  }
  std::ofstream file(given.at("--plot").asString());
  file << load::plot(results);
  return file.flush() ? exit_held : exit_file;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    const arguments given = docopt::docopt_parse(usage, {argv + 1, argv + argc});
    return given.at("--settings") ? run(given) : show_results(given);
  } catch (const docopt::DocoptExitHelp&) {
    std::cout << usage;
    return exit_held;
  } catch (const std::exception& failure) {
    std::cerr << failure.what() << "\n" << usage;
    return exit_bad_settings;
  }
}
