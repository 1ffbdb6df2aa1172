// hawthornnotch-entry: one entry VM's data path and control in one process.

#include <docopt/docopt.h>

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <map>
#include <string>
#include <utility>

#include "hawthornnotch/config/json_reader.h"
#include "hawthornnotch/gateway/gateway.h"
#include "hawthornnotch/gateway/settings.h"
#include "hawthornnotch/observe/log.h"
#include "platform/control_client.h"
#include "platform/store_client.h"
#include "platform/wire_protocol.h"

namespace {

using namespace hawthornnotch;

constexpr auto usage = R"(hawthornnotch-entry: routes callers' requests to backend servers.

Usage:
  hawthornnotch-entry --settings FILE [--check]
  hawthornnotch-entry --settings-from VARIABLE [--check]
  hawthornnotch-entry (-h | --help)

Options:
  --settings FILE           JSON settings, see docs/SETTINGS.md.
  --settings-from VARIABLE  Environment variable that holds the path of the settings.
  --check                   Check the settings and exit.
  -h --help                 Show this.

Exit codes: 0 stopped whole or settings good, 1 could not start or a request was cut,
2 settings refused.
)";

using command_words = std::map<std::string, docopt::value>;

constexpr int exit_failed = 1;
/// How often the settings file is looked at, since it may change without a signal.
constexpr std::chrono::seconds settings_period{2};

std::string settings_path(const command_words& words) {
  const docopt::value& path = words.at("--settings");
  if (path) {
    return path.asString();
  }
  const char* from_environment = std::getenv(words.at("--settings-from").asString().c_str());
  return from_environment == nullptr ? "" : from_environment;
}

result<gateway::gateway_settings, settings_failure> read_settings(const std::string& path) {
  auto object = read_object_file(path);
  if (!object) {
    return failed{object.last_reason()};
  }
  return gateway::parse_gateway_settings(*object);
}

// Acts on signals and on changes of the settings file.
class supervisor {
 public:
  supervisor(gateway::gateway& what, std::string path)
      : gateway_(what),
        path_(std::move(path)),
        stop_(what.executor(), SIGTERM, SIGINT),
        hang_up_(what.executor(), SIGHUP),
        timer_(what.executor()) {
    await_stop();
    await_hang_up();
    await_period();
  }

 private:
  void await_stop() {
    stop_.async_wait([this](const boost::system::error_code& error, int /*signal*/) {
      if (!error) {
        gateway_.begin_stop();
        await_stop();
      }
    });
  }
  void await_hang_up() {
    hang_up_.async_wait([this](const boost::system::error_code& error, int /*signal*/) {
      if (!error) {
        reload();
        await_hang_up();
      }
    });
  }
  void await_period() {
    timer_.expires_after(settings_period);
    timer_.async_wait([this](const boost::system::error_code& error) {
      if (!error) {
        reload();
        await_period();
      }
    });
  }
  void reload() {
    auto settings = read_settings(path_);
    if (!settings) {
      observe::log_event(observe::level::warning, "settings_refused",
                         {{"why", describe(settings.last_reason())}});
      return;
    }
    gateway_.reload(std::move(*settings));
  }

  gateway::gateway& gateway_;
  std::string path_;
  boost::asio::signal_set stop_;
  boost::asio::signal_set hang_up_;
  boost::asio::steady_timer timer_;
};

int serve(gateway::gateway_settings settings, const std::string& path) {
  observe::start_logging(settings.log, "hawthornnotch-entry", settings.vm);
  const adapter::wire_protocol wire;
  auto made =
      gateway::gateway::create(std::move(settings), wire, adapter::make_store_client,
                               gateway::gateway::make_http_client(), adapter::make_control_client);
  if (!made) {
    std::cerr << "cannot listen: " << net::to_string(made.last_reason().kind) << "\n";
    return exit_failed;
  }
  observe::log_event(
      observe::level::info, "started",
      {{"caller_port", (*made)->caller_port()}, {"peer_port", (*made)->peer_port()}});
  const supervisor watched(**made, path);
  const bool whole = (*made)->run();
  observe::stop_logging();
  return whole ? 0 : exit_failed;
}

int run(const command_words& words) {
  const std::string path = settings_path(words);
  auto settings = read_settings(path);
  if (!settings) {
    std::cerr << path << ": " << describe(settings.last_reason()) << "\n";
    return exit_bad_settings;
  }
  if (words.at("--check").asBool()) {
    std::cout << path << ": settings are valid\n";
    return 0;
  }
  return serve(std::move(*settings), path);
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return run(docopt::docopt_parse(usage, {argv + 1, argv + argc}, true));
  } catch (const docopt::DocoptExitHelp&) {
    std::cout << usage;
    return 0;
  } catch (const std::exception&) {
    std::cerr << usage;
    return exit_bad_settings;
  }
}
