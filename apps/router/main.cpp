// hawthornnotch-router: the data path between callers and backend servers.
#include <docopt/docopt.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <iostream>
#include <thread>

#include "hawthornnotch/observe/log.h"
#include "hawthornnotch/router/router.h"

namespace {

using namespace hawthornnotch;

constexpr auto usage = R"(hawthornnotch-router: the data path between callers and backend servers.

Usage:
  hawthornnotch-router --settings FILE [--check]
  hawthornnotch-router (-h | --help)

Options:
  --settings FILE  JSON settings, see docs/SETTINGS.md.
  --check          Check the settings and exit.
  -h --help        Show this.

Exit codes: 0 stopped after all requests ended, or settings valid; 1 could not start, or requests
were cut off; 2 settings invalid.
)";

constexpr int exit_failed = 1;

result<router::router_settings, settings_failure> read_settings(const std::string& path) {
  auto object = read_object_file(path);
  if (!object) {
    return failed{object.last_reason()};
  }
  return router::parse_router_settings(*object);
}

// Turns the first SIGTERM or SIGINT into a graceful stop; later ones change nothing.
class stop_on_signal {
 public:
  explicit stop_on_signal(router::router& target) : signals_(context_, SIGTERM, SIGINT) {
    wait(target);
    thread_ = std::thread([this] { context_.run(); });
  }
  ~stop_on_signal() {
    context_.stop();
    thread_.join();
  }
  stop_on_signal(const stop_on_signal&) = delete;
  stop_on_signal& operator=(const stop_on_signal&) = delete;

 private:
  void wait(router::router& target) {
    signals_.async_wait([this, &target](const boost::system::error_code& error, int /*signal*/) {
      if (!error) {
        target.begin_stop();
        wait(target);
      }
    });
  }

  boost::asio::io_context context_;
  boost::asio::signal_set signals_;
  std::thread thread_;
};

int serve(router::router_settings settings) {
  observe::start_logging(settings.log, "hawthornnotch-router", settings.vm);
  auto made = router::router::create(std::move(settings));
  if (!made) {
    std::cerr << describe(made.last_reason()) << "\n";
    return exit_failed;
  }
  observe::log_event(
      observe::level::info, "started",
      {{"caller_port", (*made)->caller_port()}, {"operator_port", (*made)->operator_port()}});
  const stop_on_signal signals(**made);
  return (*made)->run() ? 0 : exit_failed;
}

}  // namespace

int main(int argc, char** argv) {
  const auto arguments = docopt::docopt(usage, {argv + 1, argv + argc}, true);
  auto settings = read_settings(arguments.at("--settings").asString());
  if (!settings) {
    std::cerr << describe(settings.last_reason()) << "\n";
    return exit_bad_settings;
  }
  if (arguments.at("--check").asBool()) {
    return 0;
  }
  return serve(std::move(*settings));
}
