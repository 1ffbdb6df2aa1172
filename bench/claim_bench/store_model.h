// A key-value service with latency, a bounded write rate and outages, on a stepped clock.
#ifndef HAWTHORNNOTCH_BENCH_CLAIM_BENCH_STORE_MODEL_H_
#define HAWTHORNNOTCH_BENCH_CLAIM_BENCH_STORE_MODEL_H_

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/platform/client.h"

namespace hawthornnotch::bench {

class store_model final : public platform::client {
 public:
  static constexpr duration one_way{3};
  static constexpr duration client_timeout{1'000};

  store_model(const stepped_clock& time, std::int64_t writes_per_second)
      : time_(time), writes_per_second_(writes_per_second) {}

  void transact(platform::transaction what, platform::transaction_callback done) override {
    if (down) {
      after(one_way, [done] {
        done(failed{platform::platform_failure{platform::failure_kind::unreachable, false}});
      });
      return;
    }
    ++transactions;
    // Writes are served one after the other; times in microseconds.
    const std::int64_t arrival = (time_.now() + one_way).ms * 1'000;
    free_at_us_ = std::max(free_at_us_, arrival) + 1'000'000 / writes_per_second_;
    const duration wait = duration{free_at_us_ / 1'000} - duration{time_.now().ms};
    if (wait + one_way > client_timeout) {
      after(client_timeout, [done] {
        done(failed{platform::platform_failure{platform::failure_kind::timed_out, true}});
      });
      after(wait, [this, what = std::move(what)] { (void)apply(what); });
      return;
    }
    after(wait, [this, what = std::move(what), done = std::move(done)] {
      after(one_way, [done, outcome = apply(what)] { done(outcome); });
    });
  }
  void read(std::string /*key*/, platform::read_callback done) override {
    after(one_way * 2, [done] { done(platform::read_outcome{}); });
  }
  void read_prefix(std::string key, platform::read_callback done) override {
    read(std::move(key), std::move(done));
  }
  void grant_lease(duration /*time_to_live*/, platform::lease_callback done) override {
    after(one_way * 2, [done] { done(std::int64_t{1}); });
  }
  void keep_alive(std::int64_t /*lease*/, platform::lease_callback done) override {
    grant_lease({}, std::move(done));
  }
  void revoke(std::int64_t /*lease*/, platform::lease_callback done) override {
    grant_lease({}, std::move(done));
  }
  std::unique_ptr<platform::watch_handle> watch(std::string /*prefix*/, std::int64_t /*revision*/,
                                                platform::watch_callback /*events*/) override {
    return std::make_unique<platform::watch_handle>();
  }

  void after(duration wait, std::function<void()> what) {
    events_.emplace((time_.now() + wait).ms, std::move(what));
  }
  void run_due() {
    while (!events_.empty() && events_.begin()->first <= time_.now().ms) {
      const auto what = std::move(events_.begin()->second);
      events_.erase(events_.begin());
      what();
    }
  }

  bool down = false;
  std::uint64_t transactions = 0;
  std::uint64_t bytes = 0;

 private:
  bool holds(const platform::condition& one) const {
    return std::visit(
        overloaded{
            [&](const platform::must_be_absent& absent) { return !values_.contains(absent.key); },
            [&](const platform::must_be_unchanged& same) {
              const auto at = values_.find(same.key);
              return at != values_.end() && at->second.mod_revision == same.mod_revision;
            }},
        one);
  }
  platform::transaction_outcome apply(const platform::transaction& what) {
    const bool applies = std::all_of(what.conditions.begin(), what.conditions.end(),
                                     [&](const auto& one) { return holds(one); });
    platform::transaction_outcome seen{applies, revision_, {}};
    if (!applies) {
      for (const std::string& key : what.read_on_conflict) {
        if (const auto at = values_.find(key); at != values_.end()) {
          seen.current.push_back(at->second);
        }
      }
      return seen;
    }
    seen.revision = ++revision_;
    for (const platform::effect& one : what.effects) {
      if (const auto* to = std::get_if<platform::put>(&one)) {
        bytes += to->value.size();
        values_[to->key] = {to->key, to->value, revision_, to->lease};
      }
    }
    return seen;
  }

  const stepped_clock& time_;
  const std::int64_t writes_per_second_;
  std::int64_t free_at_us_ = 0;
  std::int64_t revision_ = 0;
  std::map<std::string, platform::key_value> values_;
  std::multimap<std::int64_t, std::function<void()>> events_;
};

}  // namespace hawthornnotch::bench

#endif  // HAWTHORNNOTCH_BENCH_CLAIM_BENCH_STORE_MODEL_H_
