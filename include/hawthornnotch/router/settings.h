/// \file
/// Settings of hawthornnotch-router.  docs/SETTINGS.md describes each key.
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

/// Limits for exchanges with backend servers.
struct backend_limits {
  duration connect_timeout{1'000};
  /// Time from sending a request to receiving the response head.
  duration head_timeout{30'000};
  /// Time between two reads of a response body.
  duration stream_timeout{10'000};
  /// Maximum size of a response body in bytes.
  std::uint64_t answer_bytes = 8 * 1024 * 1024;
  /// Maximum size of one event of a stream in bytes.
  std::uint32_t event_bytes = 256 * 1024;
  /// Maximum number of idle connections that are kept for reuse.
  std::uint32_t idle_connections = 64;
};

/// Phases of a graceful stop.
struct stop_settings {
  /// How long new requests are still accepted after the stop began, while the load balancer detects
  /// that the router is not ready.
  duration balancer_notice{5'000};
  /// How long requests in progress may run after that.
  duration drain_timeout{600'000};
  /// How long to wait for the results of claimed requests to be stored after the last request
  /// ended.  A key whose result is not stored becomes `unknown`.
  duration settle_timeout{5'000};
};

/// All settings of a router.
struct router_settings {
  std::string vm;
  std::string failure_domain;
  endpoint listen;
  endpoint operator_listen{"127.0.0.1", 0};
  std::vector<endpoint> platform;
  std::uint32_t threads = 2;
  /// True to take the workspace from the bearer key, false to trust the header
  /// x-hawthornnotch-workspace.
  bool authenticate = true;
  net::server_limits caller_limits;
  backend_limits backend;
  policy::scheduler_settings scheduler;
  claim::claim_settings claims;
  stop_settings stop;
  observe::log_settings log;
  /// Number of decision steps kept for `/explain/`.
  std::uint32_t explain_capacity = 50'000;
  std::uint64_t seed = 1;
};

/// Parses and validates a settings object.  \returns the settings, or the first failure.
result<router_settings, settings_failure> parse_router_settings(const boost::json::object& object);

}  // namespace hawthornnotch::router

#endif  // HAWTHORNNOTCH_ROUTER_SETTINGS_H_
