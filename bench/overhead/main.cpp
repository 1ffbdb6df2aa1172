// Time that a router adds to a request and to a token, against calling the engines directly.
//
// Requests alternate between router and engines in one run, open loop, so that both see the same
// machine.  Prints a JSON object.
#include <docopt/docopt.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <chrono>
#include <iostream>
#include <mutex>
#include <thread>
#include <vector>

#include "hawthornnotch/config/json_reader.h"
#include "hawthornnotch/net/http_client.h"

namespace {

using namespace hawthornnotch;
namespace asio = boost::asio;
using steady = std::chrono::steady_clock;

constexpr auto usage = R"(Measures the time that a router adds to a request and to a token.

Usage:
  overhead --router ADDRESS --engines ADDRESSES --rate N [--seconds S] [--threads T]

Options:
  --router ADDRESS     Router's callers' listener.
  --engines ADDRESSES  Engines' addresses, parted by commas.
  --rate N             Requests a second to the router, and as many to the engines.
  --seconds S          Length of the run [default: 5].
  --threads T          Threads of this program [default: 2].
)";

constexpr std::string_view body = R"({"model":"forecast-7b","stream":true,"x_length":16,)"
                                  R"("messages":[{"role":"user","content":"overhead"}]})";

struct sample {
  double first_piece_ms = 0;
  double whole_ms = 0;
};

// Times of one way, filled from several threads.
class sample_list {
 public:
  void add(const sample& one) {
    const std::lock_guard lock(mutex_);
    samples_.push_back(one);
  }
  void add_failure() {
    const std::lock_guard lock(mutex_);
    ++failures_;
  }
  boost::json::object summary() {
    boost::json::object out;
    out["requests"] = samples_.size();
    out["failures"] = failures_;
    out["first_token_ms"] = quantiles([](const sample& one) { return one.first_piece_ms; });
    out["whole_ms"] = quantiles([](const sample& one) { return one.whole_ms; });
    return out;
  }

 private:
  template <class Read>
  boost::json::object quantiles(Read read) {
    std::vector<double> values;
    for (const sample& one : samples_) {
      values.push_back(read(one));
    }
    std::sort(values.begin(), values.end());
    const auto at = [&values](double quantile) {
      const double position = quantile * static_cast<double>(values.size());
      return values.empty() ? 0.0 : values.at(static_cast<std::size_t>(position));
    };
    boost::json::object out;
    out["p50"] = at(0.5);
    out["p99"] = at(0.99);
    return out;
  }

  std::mutex mutex_;
  std::vector<sample> samples_;
  std::uint64_t failures_ = 0;
};

double ms_since(steady::time_point start) {
  return std::chrono::duration<double, std::milli>(steady::now() - start).count();
}

asio::awaitable<void> one_request(net::http_client& client, endpoint to, sample_list& into) {
  net::http_request request;
  request.method = "POST";
  request.target = "/v1/chat/completions";
  request.headers.emplace_back("Content-Type", "application/json");
  request.headers.emplace_back("x-hawthornnotch-workspace", "poledica-dispatch");
  request.headers.emplace_back("x-hawthornnotch-class", "bulletin");
  request.body = std::string(body);
  const net::exchange_limits limits;
  const auto start = steady::now();
  auto stream = co_await client.open(std::move(to), std::move(request), limits);
  if (!stream || (*stream)->head().status != 200) {
    into.add_failure();
    co_return;
  }
  sample seen;
  while (true) {
    const auto piece = co_await (*stream)->read();
    if (!piece) {
      into.add_failure();
      co_return;
    }
    if (piece->empty()) {
      break;
    }
    if (seen.first_piece_ms == 0) {
      seen.first_piece_ms = ms_since(start);
    }
  }
  seen.whole_ms = ms_since(start);
  into.add(seen);
}

// One run's addresses and counts.
struct plan {
  endpoint router;
  std::vector<endpoint> engines;
  std::uint64_t rate = 1;
  std::uint64_t requests = 1;
};

asio::awaitable<void> send_all(asio::io_context& context, net::http_client& client,
                               const plan& what, sample_list& direct, sample_list& routed) {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  const auto start = steady::now();
  constexpr std::chrono::nanoseconds second(1'000'000'000);
  for (std::uint64_t number = 0; number < what.requests; ++number) {
    timer.expires_at(start + second * number / what.rate);
    co_await timer.async_wait(asio::use_awaitable);
    const endpoint& engine = what.engines.at(number % what.engines.size());
    asio::co_spawn(asio::make_strand(context), one_request(client, engine, direct), asio::detached);
    asio::co_spawn(asio::make_strand(context), one_request(client, what.router, routed),
                   asio::detached);
  }
}

plan read_plan(const std::map<std::string, docopt::value>& arguments) {
  plan what;
  what.router = parse_endpoint(arguments.at("--router").asString()).value_or(endpoint{});
  std::string rest = arguments.at("--engines").asString();
  while (!rest.empty()) {
    const std::size_t comma = std::min(rest.find(','), rest.size());
    what.engines.push_back(parse_endpoint(rest.substr(0, comma)).value_or(endpoint{}));
    rest.erase(0, comma + 1);
  }
  what.rate = static_cast<std::uint64_t>(arguments.at("--rate").asLong());
  what.requests = what.rate * static_cast<std::uint64_t>(arguments.at("--seconds").asLong());
  return what;
}

}  // namespace

int main(int argc, char** argv) {
  const auto arguments = docopt::docopt(usage, {argv + 1, argv + argc}, true);
  const plan what = read_plan(arguments);
  asio::io_context context;
  constexpr std::size_t kept_connections = 512;
  auto client = net::http_client::create(kept_connections);
  sample_list direct;
  sample_list routed;
  asio::co_spawn(asio::make_strand(context), send_all(context, *client, what, direct, routed),
                 asio::detached);
  std::vector<std::thread> threads;
  for (long index = 0; index < arguments.at("--threads").asLong(); ++index) {
    threads.emplace_back([&context] { context.run(); });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  client.reset();
  boost::json::object out;
  out["rate"] = what.rate;
  out["direct"] = direct.summary();
  out["routed"] = routed.summary();
  std::cout << boost::json::serialize(out) << "\n";
}
