/// \file
/// One version of what operators configure for the entry VMs: routes, services, workspaces, limits.
#ifndef HAWTHORNNOTCH_ROUTES_ROUTING_CONFIG_H_
#define HAWTHORNNOTCH_ROUTES_ROUTING_CONFIG_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "hawthornnotch/base/clock.h"

namespace hawthornnotch::routes {

/// What may be repeated of a request.
enum class repeatability : std::uint8_t {
  /// May run any number of times.
  idempotent,
  /// Runs at most once.
  non_idempotent,
  /// Answered with server-sent events; runs at most once unless the route is resumable.
  event_stream,
};

/// A service and its part of a route's requests.
struct weighted_service {
  std::string service;
  std::uint32_t weight = 1;
};

/// Requests of one host below one path prefix.
struct route {
  std::string name;
  std::string host;
  /// Begins and ends with a slash.
  std::string prefix;
  repeatability kind = repeatability::non_idempotent;
  /// Longest time from a request's arrival to the end of its answer.
  duration timeout{30'000};
  /// Time to the answer, or to a stream's first event, that callers expect.
  duration target_latency{1'000};
  /// Longest pause between a stream's events that callers expect; 0 where none is stated.
  duration target_gap{0};
  /// 0 is the most urgent.
  std::uint32_t priority = 0;
  /// Backend servers that one request may be sent to.
  std::uint32_t max_attempts = 1;
  /// At least one; requests are split by weight.
  std::vector<weighted_service> services;
  /// True where no API key is asked for.
  bool anonymous = false;
  /// True where a stream may go on at another backend server behind its last event.
  bool resumable = false;
};

/// Properties of a service's model engines.
struct engine_profile {
  /// Requests that an engine runs side by side.
  std::uint32_t slots = 0;
  /// Tokens in one event of a stream.
  std::uint32_t tokens_per_event = 1;
};

struct service_definition {
  std::string name;
  /// Set where the backend servers are model engines.
  std::optional<engine_profile> engine;
};

/// A workspace and the API keys that its callers present.
struct workspace_access {
  std::string name;
  std::vector<std::string> api_keys;
  /// Orders requests before the route's priority does.
  std::optional<std::uint32_t> priority;
};

/// What a caller may send, and how slowly.
struct caller_limits {
  std::uint32_t header_bytes = 16 * 1024;
  std::uint64_t body_bytes = 4 * 1024 * 1024;
  duration header_timeout{3'000};
  duration idle_timeout{15'000};
};

struct routing_config {
  /// Rises with each change; gaps are allowed.
  std::int64_t version = 0;
  std::vector<route> routes;
  std::vector<service_definition> services;
  caller_limits limits;
  /// False where no route asks for an API key.
  bool api_keys_required = false;
  std::vector<workspace_access> workspaces;
};

}  // namespace hawthornnotch::routes

#endif  // HAWTHORNNOTCH_ROUTES_ROUTING_CONFIG_H_
