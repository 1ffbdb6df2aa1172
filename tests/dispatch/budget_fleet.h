// Simulates entry VMs that share one retry budget while every request wants retries, on a simulated
// clock: the production budget and gossip membership with simulated I/O.
#ifndef HAWTHORNNOTCH_TESTS_DISPATCH_BUDGET_FLEET_H_
#define HAWTHORNNOTCH_TESTS_DISPATCH_BUDGET_FLEET_H_

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "hawthornnotch/base/random.h"
#include "hawthornnotch/dispatch/retry_budget.h"
#include "hawthornnotch/relay/peer_set.h"

namespace hawthornnotch::dispatch {

class budget_fleet {
 public:
  struct settings {
    std::size_t vms = 6;
    std::size_t domains = 4;
    double requests_per_s_per_vm = 15;
    retry_budget_settings budget;
    std::uint64_t seed = 1;
  };
  explicit budget_fleet(const settings& what);

  void run_for(duration span);
  // Ends the process; a new one without any state starts after `down_for`.
  void kill(std::size_t vm, duration down_for);
  void kill_all(duration down_for);
  // The VM stands still, and its monotonic clock with it.
  void freeze(std::size_t vm, duration frozen_for);
  // Removes a VM for good.
  void remove(std::size_t vm);
  // Starts a VM under a new name.
  void add(std::size_t domain);
  // Failure domains that can't reach the others; callers still reach their VMs.
  void partition(std::set<std::size_t> domains) { partitioned_ = std::move(domains); }
  // Stops or resumes the failures that make requests want retries.
  void set_retries_wanted(bool wanted) { retries_wanted_ = wanted; }

  [[nodiscard]] std::size_t size() const { return vms_.size(); }
  // The window that exceeds its allowance most, as the users count.
  struct window_count {
    double excess = -1e9;
    std::size_t retries = 0;
    double allowed = 0;
    time_point end;
    [[nodiscard]] std::string text() const;
  };
  [[nodiscard]] window_count worst_window() const;
  // \returns the retries sent in the last `span`, as a fraction of those allowed.
  [[nodiscard]] double used_fraction(duration span) const;
  // \returns the retries sent in the last `span`.
  [[nodiscard]] std::size_t retries_within(duration span) const;

 private:
  struct entry_vm {
    entry_vm(relay::peer self, std::vector<endpoint> seeds, relay::peer_set_settings peer_settings,
             const retry_budget_settings& budget, std::uint64_t seed, time_point started_at);
    std::size_t domain = 0;
    relay::peer_set peers;
    retry_budget budget;
    random_source random;
    // Its monotonic clock is this much behind.
    duration clock_lag;
    time_point next_exchange;
    double due_requests = 0;
  };
  struct place {
    std::size_t domain = 0;
    std::string name;
    std::uint64_t starts = 0;
    // The process; none while it is down.
    std::unique_ptr<entry_vm> process;
    time_point back_at;
    time_point down_since;
    time_point frozen_until;
    bool removed = false;
  };

  void step();
  void start(std::size_t vm);
  void exchange(std::size_t vm);
  void receive_requests(std::size_t vm, double count);
  [[nodiscard]] bool runs(std::size_t vm) const;
  [[nodiscard]] bool reaches(std::size_t from, std::size_t to) const;
  [[nodiscard]] double allowed_at(time_point end) const;
  [[nodiscard]] static std::size_t count_between(const std::vector<time_point>& times,
                                                 time_point after, time_point until);

  settings settings_;
  random_source random_;
  std::vector<place> vms_;
  std::set<std::size_t> partitioned_;
  bool retries_wanted_ = true;
  time_point now_{1'000'000};
  std::vector<time_point> requests_;
  std::vector<time_point> retries_;
};

}  // namespace hawthornnotch::dispatch

#endif  // HAWTHORNNOTCH_TESTS_DISPATCH_BUDGET_FLEET_H_
