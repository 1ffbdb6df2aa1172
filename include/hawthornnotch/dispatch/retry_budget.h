/// \file
/// Limits retries of requests on other backend servers.
#ifndef HAWTHORNNOTCH_DISPATCH_RETRY_BUDGET_H_
#define HAWTHORNNOTCH_DISPATCH_RETRY_BUDGET_H_

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "hawthornnotch/base/clock.h"

namespace hawthornnotch::dispatch {

struct retry_budget_settings {
  /// Retries allowed fleet-wide per request to a service within `window`.
  double ratio = 0.2;
  /// Additional retries allowed fleet-wide per service within `window`.
  double slack = 10;
  duration window{10'000};
  /// Fraction of the allowance that is used, because the entry VMs' windows are not aligned and
  /// their number is known with a delay.  The rest is left for requests of which it is not known
  /// whether another process has spent what they earn.
  double safety_factor = 0.8;
  bool operator==(const retry_budget_settings&) const = default;
};

/// What an entry VM knows of the others with which it shares the budget.
struct budget_share {
  /// Number of entry VMs that share the slack, this one included; 0 if unknown.
  std::size_t entry_vms = 0;
  /// When another VM was last found ended, restarted, leaving or out of reach; none so far.
  std::optional<time_point> disrupted_at;
};

/// Whether a retry is allowed, and what decided it.
struct retry_decision {
  bool allowed = false;
  /// Retries allowed to this VM within the window, and those that it has sent, this one included if
  /// it is allowed.
  double allowance = 0;
  std::size_t retries = 0;
  /// Requests counted within the window, and those of them that earn the full ratio.
  std::size_t requests = 0;
  std::size_t proven_requests = 0;
  /// Number of entry VMs among which the slack is divided.
  std::size_t entry_vms = 0;
  /// Time since this process began to count.
  duration account_age;
};

/// Counts requests and retries of each service over a sliding window.  Prevents retry storms: when
/// many backend servers fail at once, retries would multiply the load on the others.
///
/// The sum of all entry VMs stays within the budget although each VM forgets its account when its
/// process ends.  A process that is younger than the window has no part of the slack, and its
/// requests earn only what the accounts of older processes leave free.  So do, for a window after
/// another VM ended, the requests beyond the level of the window before: they may have come from
/// that VM, which may have spent what its callers had earned.
///
/// Example:
///     budget.on_request("forecast", now);
///     if (budget.take("forecast", share, now).allowed) { resend(); }
/// Ownership: a value.  Thread safety: none.
class retry_budget {
 public:
  /// \param started_at start of the process.
  retry_budget(retry_budget_settings settings, time_point started_at)
      : settings_(settings), started_at_(started_at) {}
  void set(retry_budget_settings settings) { settings_ = settings; }
  /// Records the first attempt of a request.
  void on_request(std::string_view service, time_point now);
  /// Takes one retry from the budget.
  /// \returns whether the retry is allowed; if so, it is counted.
  retry_decision take(std::string_view service, const budget_share& share, time_point now);

 private:
  struct counts {
    /// Of the last two windows.
    std::deque<time_point> requests;
    std::deque<time_point> retries;
  };
  counts& current_counts(std::string_view service, time_point now);
  /// \returns whether no process can have ended in the window whose account this one continues.
  [[nodiscard]] bool is_settled(const budget_share& share, time_point now) const;

  retry_budget_settings settings_;
  time_point started_at_;
  std::map<std::string, counts, std::less<>> services_;
};

}  // namespace hawthornnotch::dispatch

#endif  // HAWTHORNNOTCH_DISPATCH_RETRY_BUDGET_H_
