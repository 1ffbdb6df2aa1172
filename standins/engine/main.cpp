#include <boost/asio/io_context.hpp>
#include <memory>

#include "hawthornnotch/standin/engine.h"
#include "hawthornnotch/standin/program.h"

namespace {

using namespace hawthornnotch;

constexpr double most_slots = 4096;
constexpr double most_cache_entries = 1'000'000;
constexpr double longest_answer = 100'000;

constexpr auto usage = R"(A model engine that generates made-up text at a set speed.

Usage:
  standin-engine --listen ADDRESS [options]

Options:
  --listen ADDRESS        Where to listen, address:port; port 0 takes a free one.
  --models NAMES          Models loaded at start, parted by commas [default: model-a].
  --first-token-ms MS     Time to the first token [default: 50].
  --token-ms MS           Time of each further token [default: 10].
  --slots N               Streams that run side by side [default: 8].
  --slowdown SHARE        Share by which each further stream lengthens a step [default: 0].
  --cache-entries N       Prompt prefixes remembered [default: 0].
  --report-lag-ms MS      Age of the load report [default: 0].
  --load-model-ms MS      Time to load a model [default: 0].
  --longest N             Longest drawn answer, tokens [default: 64].
  --checks-fencing        Refuse orders with an old fencing number.
  -h --help               Show this.
)";

standin::engine_options read_options(const standin::command_line& line) {
  standin::engine_options options;
  options.models = line.list("--models");
  options.first_token = line.milliseconds("--first-token-ms");
  options.token = line.milliseconds("--token-ms");
  options.slots = static_cast<std::size_t>(line.number("--slots", 1, most_slots));
  options.slowdown = line.number("--slowdown", 0, 1);
  options.cache_entries =
      static_cast<std::size_t>(line.number("--cache-entries", 0, most_cache_entries));
  options.report_lag = line.milliseconds("--report-lag-ms");
  options.load_model = line.milliseconds("--load-model-ms");
  options.checks_fencing = line.flag("--checks-fencing");
  options.longest = static_cast<std::uint32_t>(line.number("--longest", 1, longest_answer));
  return options;
}

}  // namespace

int main(int argc, char** argv) {
  const standin::command_line line(usage, argc, argv);
  auto faults = std::make_shared<standin::fault_switches>();
  auto engine = standin::engine::create(read_options(line), faults);
  boost::asio::io_context context(1);
  return standin::serve(context, line, faults,
                        [&engine](net::http_request request, net::response_writer& writer) {
                          return engine->handle(std::move(request), writer);
                        });
}
