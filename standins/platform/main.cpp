#include <boost/asio/io_context.hpp>
#include <memory>

#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/standin/platform.h"
#include "hawthornnotch/standin/program.h"

namespace {

using namespace hawthornnotch;

constexpr double longest_lag_ms = 600'000;

constexpr auto usage = R"(The platform's key-value service and list of VMs, kept in memory.

Usage:
  standin-platform --listen ADDRESS [options]

Options:
  --listen ADDRESS        Where to listen, address:port; port 0 takes a free one.
  --list-lag-ms MS        Time until a change of the list of VMs is seen [default: 0].
  --progress-ms MS        Longest silence of a watch [default: 2000].
  -h --help               Show this.
)";

}  // namespace

int main(int argc, char** argv) {
  const standin::command_line line(usage, argc, argv);
  const system_clock time;
  auto faults = std::make_shared<standin::fault_switches>();
  standin::platform_options options;
  options.list_lag = {static_cast<std::int64_t>(line.number("--list-lag-ms", 0, longest_lag_ms))};
  options.progress = line.milliseconds("--progress-ms");
  auto platform = standin::platform::create(options, time, faults);
  boost::asio::io_context context(1);
  return standin::serve(context, line, faults,
                        [&platform](net::http_request request, net::response_writer& writer) {
                          return platform->handle(std::move(request), writer);
                        });
}
