// A fleet of entry VMs that send to one server with a limit, on a stepped clock.
#ifndef HAWTHORNNOTCH_TESTS_DISPATCH_LIMITED_FLEET_H_
#define HAWTHORNNOTCH_TESTS_DISPATCH_LIMITED_FLEET_H_

#include <algorithm>
#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "hawthornnotch/base/hash.h"
#include "hawthornnotch/base/random.h"
#include "hawthornnotch/dispatch/server_limits.h"

namespace hawthornnotch::dispatch {

using namespace literals;
using servers::request_rate;

inline constexpr duration step{10};
inline constexpr duration window{4'000};
// Time between two exchanges that a VM starts.
inline constexpr duration gossip_period{150};
inline constexpr std::size_t limits_per_message = 8;
// The rule's bound applies from this time after the server first named its limit.
inline constexpr duration stability{3'000};
// A VM counts from this time after it learned of the limit.
inline constexpr duration told_delay{500};

// What the rule allows in `window`.
inline std::size_t allowed(request_rate rate) {
  constexpr double burst_factor = 1.5;
  constexpr double slack = 5;
  const double seconds = static_cast<double>(window.ms) / 1'000.0;
  return static_cast<std::size_t>(burst_factor * rate.per_second() * seconds + slack);
}

inline std::string name_of(std::size_t vm) { return "entry-" + std::to_string(vm); }

// Entry VMs that send to one server as often as they may.
class limited_fleet {
 public:
  limited_fleet(std::size_t vms, request_rate rate, std::uint64_t seed)
      : rate_(rate),
        random_(seed),
        views_(vms),
        up_(vms, true),
        told_at_(vms),
        lag_(vms),
        frozen_at_(vms) {
    for (std::size_t vm = 0; vm < vms; ++vm) {
      clocks_skew_.push_back(duration{static_cast<std::int64_t>(random_.below(50))});
      for (std::size_t other = 0; other < vms; ++other) {
        if (other != vm) {
          views_[vm].insert(other);
        }
      }
      vms_.emplace_back();
      restart(vm);
    }
    run_for(3_s);
  }

  // Starts the process of a VM anew; it learns of the limit with its next answer.
  void restart(std::size_t vm) {
    vms_[vm] = server_limits();
    vms_[vm].start(name_of(vm), local_now(vm));
    // As an exchange with a peer would.
    vms_[vm].observe_fleet_time({now_.ms + clocks_skew_[vm].ms}, local_now(vm));
    update_view(vm);
    told_at_[vm].reset();
    up_[vm] = true;
  }
  void stop(std::size_t vm) { up_[vm] = false; }
  [[nodiscard]] bool is_up(std::size_t vm) const { return up_[vm]; }
  // Suspends a VM until `wake`; its monotonic clock does not count that time.
  void freeze(std::size_t vm) {
    up_[vm] = false;
    frozen_at_[vm] = now_;
  }
  void wake(std::size_t vm) {
    lag_[vm] = lag_[vm] + (now_ - frozen_at_[vm]);
    up_[vm] = true;
  }
  // Cuts the VMs below `count` off from the others; 0 ends the cut.
  void cut_off(std::size_t count) { cut_off_ = count; }
  void set_view(std::size_t vm, std::set<std::size_t> others) {
    views_[vm] = std::move(others);
    update_view(vm);
  }
  void advance_clock(std::size_t vm, duration by) {
    vms_[vm].observe_fleet_time(vms_[vm].fleet_time(local_now(vm)) + by, local_now(vm));
  }
  // \returns the fraction of VMs that know of no limit.
  [[nodiscard]] double share_unlimited() {
    const auto unlimited = std::count_if(vms_.begin(), vms_.end(), [&](server_limits& each) {
      return !each.find(server(), now_).has_value();
    });
    return static_cast<double>(unlimited) / static_cast<double>(vms_.size());
  }
  void set_rate(std::optional<request_rate> rate) { named_ = rate; }
  void name_limit() {
    named_ = rate_;
    first_named_at_.reset();
  }
  // \param wanted requests per second that each VM would send.
  void set_demand(double wanted) { demand_ = wanted; }
  void stop_gossip() { gossips_ = false; }

  void run_for(duration time) {
    for (const time_point end = now_ + time; now_ < end; now_ = now_ + step) {
      if (gossips_ && now_.ms % gossip_period.ms == 0) {
        gossip();
      }
      for (std::size_t vm = 0; vm < vms_.size(); ++vm) {
        const double chance = demand_ * static_cast<double>(step.ms) / 1'000.0;
        if (up_[vm] && random_.unit() < chance) {
          try_to_send(vm);
        }
      }
    }
  }

  [[nodiscard]] std::size_t sent_since(time_point from) const {
    return static_cast<std::size_t>(std::count_if(all_sent_.begin(), all_sent_.end(),
                                                  [&](time_point at) { return at >= from; }));
  }
  // \returns the most requests that count in any window that begins at `from` or later.
  [[nodiscard]] std::size_t worst_window(time_point from) const {
    std::size_t worst = 0;
    auto end = sent_.begin();
    for (auto begin = sent_.begin(); begin != sent_.end(); ++begin) {
      end = std::find_if(end, sent_.end(), [&](time_point at) { return at >= *begin + window; });
      worst = *begin < from ? worst : std::max(worst, static_cast<std::size_t>(end - begin));
    }
    return worst;
  }
  [[nodiscard]] time_point now() const { return now_; }
  [[nodiscard]] std::size_t size() const { return vms_.size(); }
  server_limits& vm(std::size_t index) { return vms_[index]; }
  static server_incarnation server() { return {"s1", 1}; }

 private:
  void update_view(std::size_t vm) {
    std::vector<std::uint64_t> hashes;
    for (const std::size_t other : views_[vm]) {
      hashes.push_back(stable_hash(name_of(other)));
    }
    vms_[vm].set_other_members(std::move(hashes));
  }

  // Each VM exchanges with one that it knows.
  void gossip() {
    for (std::size_t vm = 0; vm < vms_.size(); ++vm) {
      const std::set<std::size_t>& known = views_[vm];
      if (!up_[vm] || known.empty()) {
        continue;
      }
      const auto offset = static_cast<std::ptrdiff_t>(random_.below(known.size()));
      const std::size_t other = *std::next(known.begin(), offset);
      const bool reachable = (vm < cut_off_) == (other < cut_off_);
      if (up_[other] && reachable) {
        tell(vm, other);
        tell(other, vm);
      }
    }
  }
  void tell(std::size_t from, std::size_t to) {
    vms_[to].observe_fleet_time(vms_[from].fleet_time(local_now(from)), local_now(to));
    for (const servers::rate_limit& each : vms_[from].limits_to_gossip(limits_per_message)) {
      std::ignore = vms_[to].record_peer(each, local_now(to));
    }
  }
  [[nodiscard]] time_point local_now(std::size_t vm) const { return now_ - lag_[vm]; }

  void try_to_send(std::size_t vm) {
    const time_point now = local_now(vm);
    if (vms_[vm].take(server(), now) == permit::none) {
      return;
    }
    all_sent_.push_back(now_);
    const bool told = told_at_[vm] && now_ >= *told_at_[vm] + told_delay;
    if (named_ && told && first_named_at_ && now_ >= *first_named_at_ + stability) {
      sent_.push_back(now_);
    }
    servers::limit_notice notice = servers::not_limited{};
    if (named_) {
      notice = servers::limited_to{*named_};
      told_at_[vm] = told_at_[vm].value_or(now_);
      first_named_at_ = first_named_at_.value_or(now_);
    }
    // The request was sent just before its answer arrived.
    std::ignore = vms_[vm].record_answer(server(), notice, now, now + duration{1});
  }

  request_rate rate_;
  random_source random_;
  time_point now_{3'600'000};
  // When an answer first named the limit.
  std::optional<time_point> first_named_at_;
  std::optional<request_rate> named_;
  double demand_ = 0;
  bool gossips_ = true;
  std::vector<std::set<std::size_t>> views_;
  std::vector<bool> up_;
  std::vector<std::optional<time_point>> told_at_;
  std::vector<duration> clocks_skew_;
  // Time that each VM's monotonic clock is behind, since it was frozen.
  std::vector<duration> lag_;
  std::vector<time_point> frozen_at_;
  std::size_t cut_off_ = 0;
  std::deque<server_limits> vms_;
  // Requests that the rule counts, and all.
  std::vector<time_point> sent_;
  std::vector<time_point> all_sent_;
};

}  // namespace hawthornnotch::dispatch

#endif  // HAWTHORNNOTCH_TESTS_DISPATCH_LIMITED_FLEET_H_
