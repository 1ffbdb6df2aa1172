/// \file
/// One version of the operators' configuration of the entry VMs: routes, services, workspaces and
/// limits.
#ifndef HAWTHORNNOTCH_ROUTES_ROUTING_CONFIG_H_
#define HAWTHORNNOTCH_ROUTES_ROUTING_CONFIG_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "hawthornnotch/base/clock.h"

namespace hawthornnotch::routes {

/// Whether a request may be retried after a server may have run it.
enum class repeatability : std::uint8_t {
  /// May run any number of times.
  idempotent,
  /// Runs at most once.
  non_idempotent,
  /// Answered with server-sent events; runs at most once unless the route is resumable.
  event_stream,
};

/// A service and its weight among a route's services.
struct weighted_service {
  std::string service;
  std::uint32_t weight = 1;
};

/// Settings of the requests to one host below one path prefix.
struct route {
  std::string name;
  std::string host;
  /// Starts and ends with a slash.
  std::string prefix;
  repeatability kind = repeatability::non_idempotent;
  /// Deadline for the complete answer, from the request's arrival.
  duration timeout{30'000};
  /// Target time to the answer, or to the first event of a stream.
  duration target_latency{1'000};
  /// Target for the longest gap between a stream's events; 0 if none is set.
  duration target_gap{0};
  /// 0 is the most urgent.
  std::uint32_t priority = 0;
  /// Backend servers that one request may be sent to, the first included.
  std::uint32_t max_attempts = 1;
  /// At least one; requests are split by weight.
  std::vector<weighted_service> services;
  /// True if the route requires no API key.
  bool anonymous = false;
  /// True if an interrupted stream may resume on another backend server after its last event.
  bool resumable = false;
};

/// Properties of a service's model engines.
struct engine_profile {
  /// Requests that an engine runs concurrently.
  std::uint32_t slots = 0;
  /// Tokens per stream event.
  std::uint32_t tokens_per_event = 1;
  /// Tokens that an engine's KV cache holds; 0 if unknown.
  std::uint64_t kv_capacity = 0;
};

/// Bounds and prices of the servers that may be ordered for a service.
struct autoscale_settings {
  /// Servers of both kinds together in each failure domain.
  std::uint32_t min = 0;
  std::uint32_t max = 0;
  /// Time from an order until the new server serves.
  duration boot_time{0};
  /// Price of a preemptible server as a fraction of an on-demand server's.
  double preemptible_price = 1.0;
  /// Price of an on-demand server by failure domain; 1 where none is given.
  std::map<std::string, double, std::less<>> domain_prices;
};

struct service_definition {
  std::string name;
  /// Set if the backend servers are model engines.
  std::optional<engine_profile> engine;
  /// Set if servers may be ordered for the service.
  std::optional<autoscale_settings> autoscale = std::nullopt;
};

/// A workspace and the API keys of its callers.
struct workspace_access {
  std::string name;
  std::vector<std::string> api_keys;
  /// Takes precedence over route priorities; 0 is the most urgent.
  std::optional<std::uint32_t> priority;
};

/// Limits on the size of requests and on the time callers take to send them.
struct caller_limits {
  std::uint32_t header_bytes = 16 * 1024;
  std::uint64_t body_bytes = 4 * 1024 * 1024;
  duration header_timeout{3'000};
  duration idle_timeout{15'000};
};

struct routing_config {
  /// Increases with each change, not necessarily by 1.
  std::int64_t version = 0;
  std::vector<route> routes;
  std::vector<service_definition> services;
  caller_limits limits;
  /// False if no route requires an API key.
  bool api_keys_required = false;
  std::vector<workspace_access> workspaces;
};

}  // namespace hawthornnotch::routes

#endif  // HAWTHORNNOTCH_ROUTES_ROUTING_CONFIG_H_
