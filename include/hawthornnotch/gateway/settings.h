/// \file
/// Settings of `hawthornnotch-entry`.
#ifndef HAWTHORNNOTCH_GATEWAY_SETTINGS_H_
#define HAWTHORNNOTCH_GATEWAY_SETTINGS_H_

#include <algorithm>
#include <boost/json/object.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/base/result.h"
#include "hawthornnotch/config/json_reader.h"
#include "hawthornnotch/dispatch/retry_budget.h"
#include "hawthornnotch/member/fleet.h"
#include "hawthornnotch/observe/log.h"

namespace hawthornnotch::gateway {

/// Kinds of duties.
inline constexpr std::string_view duty_kind_usage = "usage";
inline constexpr std::string_view duty_kind_scale = "scale";

/// Duties that one entry VM at a time performs by calls to the platform's control address.
struct duty_settings {
  endpoint control;
  /// Life of the holder's lease.
  duration lease{3'000};
  /// Calls per second that the platform accepts from all VMs together.
  double rate_per_s = 50;
  /// Those to perform; unknown ones are ignored.
  std::vector<std::string> kinds;
  /// Length of the windows in which requests are counted for usage reports.
  duration report_window{5'000};
  /// Time from the end of a window until its report is due.
  duration usage_delay{10'000};
  [[nodiscard]] bool performs(std::string_view kind) const {
    return std::find(kinds.begin(), kinds.end(), kind) != kinds.end();
  }
};

struct gateway_settings {
  std::string vm;
  std::string failure_domain;
  /// Failure domains that have entry VMs; empty if unknown.
  std::vector<std::string> failure_domains;
  endpoint callers;
  endpoint readiness;
  endpoint peers;
  endpoint metrics;
  endpoint store;
  /// Other entry VMs to contact at startup; may be out of date.
  std::vector<endpoint> seeds;
  /// Limit on the process's open file descriptors.
  std::uint32_t descriptors = 1024;
  /// Time after which a backend server that announced its leave gets no new requests.
  duration leave_notice{2'000};
  /// Time within which a new configuration must be in force.
  duration config_bound{2'000};
  /// How long a request waits after startup for the first configuration and server list.
  duration startup_hold{400};
  /// Time between SIGTERM and SIGKILL.
  duration stop_grace{8'000};
  dispatch::retry_budget_settings retries;
  /// None if the deployment has no duties.
  std::optional<duty_settings> duties;
  observe::log_settings log;
};

/// \returns the settings, or the first error found.
result<gateway_settings, settings_failure> parse_gateway_settings(
    const boost::json::object& object);

}  // namespace hawthornnotch::gateway

#endif  // HAWTHORNNOTCH_GATEWAY_SETTINGS_H_
