/// \file
/// Admission, queueing and choice of a backend server: the decisions of the data path.
#ifndef HAWTHORNNOTCH_POLICY_SCHEDULER_H_
#define HAWTHORNNOTCH_POLICY_SCHEDULER_H_

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/base/result.h"
#include "hawthornnotch/config/model.h"
#include "hawthornnotch/member/fleet.h"

namespace hawthornnotch::policy {

/// Names one request for as long as the scheduler knows it.
using ticket = std::uint64_t;

/// What the scheduler needs to know of a request.
struct request_profile {
  std::string id;
  std::string workspace;
  request_class traffic_class;
  workspace_limits limits;
  std::uint32_t retry_percent = 10;
  /// Model or service that is asked for.
  std::string serves;
  std::uint32_t prompt_bytes = 0;
  /// Hash of the prompt's leading bytes, 0 for none: requests that share it share a cached prefix.
  std::uint64_t prefix_hash = 0;
};

enum class refusal : std::uint8_t {
  no_backend_server,
  workspace_rate,
  workspace_queue,
  queue_full,
  queue_limit_passed,
  retry_budget,
};

/// Send the request to this backend server now.
struct assigned {
  ticket request = 0;
  std::string backend_server;
  endpoint address;
  /// Number of this try, from 1; events of earlier tries are ignored.
  std::uint32_t attempt = 1;
  /// Priority for the engine; lower is more urgent.
  std::uint8_t engine_priority = 0;
};

/// Answer the caller at once; the ticket is forgotten.
struct refused {
  ticket request = 0;
  refusal why = refusal::queue_full;
  /// When to come back, from the measured drain rate.
  duration retry_after;
};

/// Stop this stream at its engine, then report `attempt_end::preempted`.
struct preempted {
  ticket request = 0;
};

using decision = std::variant<assigned, refused, preempted>;

/// How a try ended.
enum class attempt_end : std::uint8_t {
  completed,
  caller_gone,
  preempted,
  /// Nothing left this process: may be tried elsewhere whatever its class.
  connect_failed,
  /// The server answered that it is overloaded.
  server_busy,
  /// The stream broke, stalled or was malformed.
  stream_failed,
};

}  // namespace hawthornnotch::policy

#endif  // HAWTHORNNOTCH_POLICY_SCHEDULER_H_
