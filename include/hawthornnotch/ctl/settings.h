/// \file
/// Settings of the operators' tool.
#ifndef HAWTHORNNOTCH_CTL_SETTINGS_H_
#define HAWTHORNNOTCH_CTL_SETTINGS_H_

#include <boost/json/object.hpp>
#include <map>
#include <string>
#include <vector>

#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/base/result.h"
#include "hawthornnotch/config/json_reader.h"
#include "hawthornnotch/member/fleet.h"

namespace hawthornnotch::ctl {

/// The processes of one failure domain.
struct domain_processes {
  std::vector<endpoint> agents;
  /// The operators' listeners of the routers.
  std::vector<endpoint> routers;
};

struct settings {
  std::vector<endpoint> platform;
  std::map<std::string, domain_processes> failure_domains;
  /// Longest that one call may take.
  duration call_timeout{2'000};
  /// Longest that a command with `--wait` waits.
  duration wait{30'000};
};

/// Form:
///     {"platform": ["10.0.0.1:2379"],
///      "failure_domains": {"zg-istok": {"agents": ["10.0.1.1:7000"], "routers":
///      ["10.0.1.1:7001"]}}, "call_timeout_ms": 2000, "wait_ms": 30000}
result<settings, settings_failure> parse_settings(const boost::json::object& object);

}  // namespace hawthornnotch::ctl

#endif  // HAWTHORNNOTCH_CTL_SETTINGS_H_
