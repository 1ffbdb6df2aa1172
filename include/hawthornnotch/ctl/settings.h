/// \file
/// Settings of hawthornnotchctl.
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
  /// Operator API addresses of the routers.
  std::vector<endpoint> routers;
};

struct settings {
  std::vector<endpoint> platform;
  std::map<std::string, domain_processes> failure_domains;
  /// Timeout of each phase of a call to the platform or a process, such as connecting.
  duration call_timeout{2'000};
  /// Timeout of a command with `--wait`.
  duration wait_timeout{30'000};
};

/// Parses the settings file:
///     {"platform": ["10.0.0.1:2379"],
///      "failure_domains": {"zg-istok": {"agents": ["10.0.1.1:7000"], "routers":
///      ["10.0.1.1:7001"]}}, "call_timeout_ms": 2000, "wait_ms": 30000}
/// \returns the settings, or the key that is missing, unknown, of the wrong type or out of range.
result<settings, settings_failure> parse_settings(const boost::json::object& object);

}  // namespace hawthornnotch::ctl

#endif  // HAWTHORNNOTCH_CTL_SETTINGS_H_
