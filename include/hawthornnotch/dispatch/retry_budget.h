/// \file
/// How many requests may be sent to a second backend server.
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
  /// Repeats that the fleet may send for each request to a service within `window`.
  double ratio = 0.2;
  /// Repeats that the fleet may send to a service within `window` besides.
  double slack = 10;
  duration window{10'000};
  /// Part of the allowance that is used, because the entry VMs' windows are not aligned and their
  /// number is known with a delay.
  double used_part = 0.8;
  bool operator==(const retry_budget_settings&) const = default;
};

/// Counts requests and repeats of each service over a sliding window.  The load pattern it answers:
/// many backend servers fail at once, and repeats would multiply the load on the rest.
///
/// Example: `budget.on_request("forecast", now); if (budget.take("forecast", 6, now)) { resend();
/// }` Ownership: a value.  Thread safety: none.
class retry_budget {
 public:
  explicit retry_budget(retry_budget_settings settings) : settings_(settings) {}
  void set(retry_budget_settings settings) { settings_ = settings; }
  /// A request is sent for the first time.
  void on_request(std::string_view service, time_point now);
  /// \param entry_vms live entry VMs, which share the slack.
  /// \returns whether a repeat is allowed; counts it if so.
  bool take(std::string_view service, std::size_t entry_vms, time_point now);

 private:
  struct counts {
    std::deque<time_point> requests;
    std::deque<time_point> repeats;
  };
  counts& fresh_counts(std::string_view service, time_point now);

  retry_budget_settings settings_;
  std::map<std::string, counts, std::less<>> services_;
};

}  // namespace hawthornnotch::dispatch

#endif  // HAWTHORNNOTCH_DISPATCH_RETRY_BUDGET_H_
