/// \file
/// Limits retries of requests on other backend servers.
#ifndef HAWTHORNNOTCH_DISPATCH_RETRY_BUDGET_H_
#define HAWTHORNNOTCH_DISPATCH_RETRY_BUDGET_H_

#include <cstddef>
#include <deque>
#include <map>
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
  /// their number is known with a delay.
  double safety_factor = 0.8;
  bool operator==(const retry_budget_settings&) const = default;
};

/// Whether a retry is allowed, and what decided it.
struct retry_decision {
  bool allowed = false;
  /// Retries allowed to this VM within the window, and those that it has sent, this one included if
  /// it is allowed.
  double allowance = 0;
  std::size_t retries = 0;
  /// Requests counted within the window.
  std::size_t requests = 0;
  /// Number of entry VMs among which the slack is divided.
  std::size_t entry_vms = 0;
  /// Time since this process began to count.
  duration account_age;
};

/// Counts requests and retries of each service over a sliding window.  Prevents retry storms: when
/// many backend servers fail at once, retries would multiply the load on the others.
///
/// Example:
///     budget.on_request("forecast", now);
///     if (budget.take("forecast", 6, now).allowed) { resend(); }
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
  /// \param entry_vms number of live entry VMs, which share the slack.
  /// \returns whether the retry is allowed; if so, it is counted.
  retry_decision take(std::string_view service, std::size_t entry_vms, time_point now);

 private:
  struct counts {
    std::deque<time_point> requests;
    std::deque<time_point> retries;
  };
  counts& current_counts(std::string_view service, time_point now);

  retry_budget_settings settings_;
  time_point started_at_;
  std::map<std::string, counts, std::less<>> services_;
};

}  // namespace hawthornnotch::dispatch

#endif  // HAWTHORNNOTCH_DISPATCH_RETRY_BUDGET_H_
