/// \file
/// Settings of hawthornnotch-router.  Every key: docs/SETTINGS.md.
#ifndef HAWTHORNNOTCH_ROUTER_SETTINGS_H_
#define HAWTHORNNOTCH_ROUTER_SETTINGS_H_

#include <boost/json/object.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "hawthornnotch/base/result.h"
#include "hawthornnotch/claim/claim_service.h"
#include "hawthornnotch/config/json_reader.h"
#include "hawthornnotch/net/http_client.h"
#include "hawthornnotch/net/http_server.h"
#include "hawthornnotch/observe/log.h"
#include "hawthornnotch/policy/settings.h"

namespace hawthornnotch::router {

/// Bounds on answers from backend servers.
struct backend_limits {
  duration connect_timeout{1'000};
  /// From a request to the head of its answer.
  duration head_timeout{30'000};
  /// Between two pieces of a stream.
  duration stream_timeout{10'000};
  /// Longest whole answer, bytes.
  std::uint64_t answer_bytes = 8 * 1024 * 1024;
  /// Longest event of a stream, bytes.
  std::uint32_t event_bytes = 256 * 1024;
  std::uint32_t idle_connections = 64;
};

struct stop_settings {
  /// How long new work is still taken after the stop began, until the balancer has noticed.
  duration balancer_notice{5'000};
  /// Longest time that requests in progress may take after that.
  duration longest_drain{600'000};
  /// How long the results of claimed requests may take to be stored once all requests have ended.
  /// A result that is not stored leaves its key `unknown`.
  duration longest_settling{5'000};
};

struct router_settings {
  std::string vm;
  std::string failure_domain;
  endpoint listen;
  endpoint operator_listen{"127.0.0.1", 0};
  std::vector<endpoint> platform;
  std::uint32_t threads = 2;
  /// False: the workspace comes from the header x-hawthornnotch-workspace.
  bool authenticate = true;
  net::server_limits caller_limits;
  backend_limits backend;
  policy::scheduler_settings scheduler;
  claim::claim_settings claims;
  stop_settings stop;
  observe::log_settings log;
  /// Decisions kept for `explain`.
  std::uint32_t explain_capacity = 50'000;
  std::uint64_t seed = 1;
};

/// Checks a whole settings object.  \returns the settings, or the first failure.
result<router_settings, settings_failure> parse_router_settings(const boost::json::object& object);

}  // namespace hawthornnotch::router

#endif  // HAWTHORNNOTCH_ROUTER_SETTINGS_H_
