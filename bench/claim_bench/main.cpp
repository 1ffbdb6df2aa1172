// Usage: claim_bench.  Compares ways to claim non-idempotent requests and prints a Markdown table:
// platform writes and bytes per order, added latency, and what an outage does.  Stepped clock,
// fixed seed: each run prints the same.
#include <algorithm>
#include <array>
#include <cstdio>
#include <memory>
#include <string_view>
#include <vector>

#include "hawthornnotch/base/random.h"
#include "strategies.h"

namespace hawthornnotch::bench {
namespace {

constexpr std::int64_t writes_per_second = 500;
constexpr std::int64_t run_ms = 20'000;
constexpr std::int64_t outage_from_ms = 12'000;
constexpr std::int64_t outage_to_ms = 17'000;
constexpr std::int64_t execution_ms = 50;
constexpr std::int64_t tick_ms = 50;

enum class scheme : std::uint8_t { single, grouped, gathered, pages, reserved };
constexpr std::array<std::string_view, 5> scheme_names = {
    "a: key per claim, one a write", "b: key per claim, grouped",
    "b: grouped, 50 ms interval, one gatherer a domain", "b: 64 pages by key hash",
    "c: blocks of 256 tokens"};

struct load {
  std::size_t routers = 8;
  std::int64_t orders_per_second = 100;
};

struct totals {
  std::uint64_t orders = 0;
  std::uint64_t writes = 0;
  std::uint64_t bytes = 0;
  std::vector<std::int64_t> waits;
  std::uint64_t refused = 0;
  std::uint64_t outage_orders = 0;
  std::uint64_t outage_refused = 0;
  std::int64_t longest_refusal = 0;
};

std::unique_ptr<strategy> make(scheme how, store_model& store, const clock& time,
                               const std::string& incarnation) {
  claim::claim_settings settings;
  settings.live_claims = 100'000;
  switch (how) {
    case scheme::single:
      settings.writes_per_commit = 1;
      settings.commits_in_flight = 64;
      return std::make_unique<keyed>(store, time, incarnation, settings);
    case scheme::grouped:
      return std::make_unique<keyed>(store, time, incarnation, settings);
    case scheme::gathered:
      settings.commit_interval = duration{50};
      return std::make_unique<keyed>(store, time, incarnation, settings);
    case scheme::pages:
      return std::make_unique<paged>(store, incarnation);
    case scheme::reserved:
      return std::make_unique<blocks>(store, incarnation);
  }
  return nullptr;
}

class run {
 public:
  run(scheme how, load with) : with_(with), store_(time_, writes_per_second) {
    constexpr std::size_t failure_domains = 4;
    const std::size_t claimers =
        how == scheme::gathered ? std::min(failure_domains, with.routers) : with.routers;
    for (std::size_t index = 0; index < claimers; ++index) {
      claimers_.push_back(make(how, store_, time_, "r" + std::to_string(index)));
    }
  }

  totals measure() {
    for (std::int64_t at = 0; at < run_ms; ++at) {
      time_.advance(duration{1});
      store_.down = at >= outage_from_ms && at < outage_to_ms;
      store_.run_due();
      arrivals(at);
      if (at % tick_ms == 0) {
        tick();
      }
      if (at == outage_from_ms) {
        seen_.writes = store_.transactions;
        seen_.bytes = store_.bytes;
        orders_before_outage_ = seen_.orders;
      }
    }
    std::sort(seen_.waits.begin(), seen_.waits.end());
    seen_.orders = orders_before_outage_;
    return seen_;
  }

 private:
  // Poisson arrivals in steps of a millisecond.
  void arrivals(std::int64_t at) {
    const double mean = static_cast<double>(with_.orders_per_second) / 1'000.0;
    std::poisson_distribution<int> count(mean);
    for (int left = count(random_.engine()); left > 0; --left) {
      order(at);
    }
  }

  void order(std::int64_t at) {
    const bool before = at < outage_from_ms;
    const bool outage = !before && at < outage_to_ms;
    strategy& by = *claimers_[random_.below(claimers_.size())];
    const std::string key = "order-" + std::to_string(++seen_.orders);
    const time_point asked = time_.now();
    seen_.outage_orders += outage ? 1 : 0;
    by.claim(key, [this, &by, key, asked, before, outage](claim_end how) {
      const std::int64_t wait = (time_.now() - asked).ms;
      if (how == claim_end::may_run) {
        if (before) {
          seen_.waits.push_back(wait);
        }
        store_.after(duration{execution_ms}, [&by, key] { by.finish(key); });
        return;
      }
      seen_.refused += before ? 1 : 0;
      seen_.outage_refused += outage ? 1 : 0;
      if (outage) {
        seen_.longest_refusal = std::max(seen_.longest_refusal, wait);
      }
    });
  }

  void tick() {
    for (const auto& one : claimers_) {
      one->tick();
    }
  }

  load with_;
  stepped_clock time_;
  store_model store_;
  random_source random_{1};
  std::vector<std::unique_ptr<strategy>> claimers_;
  totals seen_;
  std::uint64_t orders_before_outage_ = 0;
};

std::int64_t quantile(const std::vector<std::int64_t>& sorted, double share) {
  if (sorted.empty()) {
    return -1;
  }
  const auto index = static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1));
  return sorted[index];
}

void print(scheme how, load with) {
  const totals seen = run(how, with).measure();
  const auto per_order = [&](std::uint64_t count) {
    return seen.orders == 0 ? 0.0 : static_cast<double>(count) / static_cast<double>(seen.orders);
  };
  std::printf("| %zu | %lld | %s | %.3f | %.0f | %lld | %lld | %.1f | %llu of %llu | %lld |\n",
              with.routers, static_cast<long long>(with.orders_per_second),
              scheme_names.at(static_cast<std::size_t>(how)).data(), per_order(seen.writes),
              per_order(seen.bytes), static_cast<long long>(quantile(seen.waits, 0.5)),
              static_cast<long long>(quantile(seen.waits, 0.99)), 100.0 * per_order(seen.refused),
              static_cast<unsigned long long>(seen.outage_refused),
              static_cast<unsigned long long>(seen.outage_orders),
              static_cast<long long>(seen.longest_refusal));
}

void print_all() {
  std::printf(
      "| routers | orders/s | scheme | writes/order | bytes/order | p50 ms | p99 ms | refused %% "
      "| refused in outage | slowest refusal ms |\n");
  std::printf("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
  for (const load with : {load{8, 20}, load{8, 200}, load{8, 1'000}, load{320, 700}}) {
    for (std::size_t index = 0; index < scheme_names.size(); ++index) {
      print(static_cast<scheme>(index), with);
    }
  }
}

}  // namespace
}  // namespace hawthornnotch::bench

int main() {
  hawthornnotch::bench::print_all();
  return 0;
}
