/// \file
/// Snapshots of the scheduler's state for dumps, metrics and request traces.
#ifndef HAWTHORNNOTCH_POLICY_VIEW_H_
#define HAWTHORNNOTCH_POLICY_VIEW_H_

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/config/model.h"

namespace hawthornnotch::policy {

/// Kind of an event in the trace of a request.
enum class trace_event_kind : std::uint8_t {
  /// Value: queue length of the tier.
  queued,
  /// Value: expected time to first token, milliseconds.
  assigned,
  /// Dispatched by the minimum share of a lower tier.  Value: expected time to first token,
  /// milliseconds.
  share_turn,
  /// Not dispatched; recorded once per run of equal events.  Value: candidates sampled, none of
  /// which had room, or `no_concurrency`.
  no_room,
  /// Value: the numeric value of the `refusal`.
  refused,
  /// Value: tokens sent so far.
  preempted,
  /// Value: queue length of the tier.
  queued_again,
  /// Value: the numeric value of the `attempt_end`.
  finished,
};

/// An event in the trace of a request; at most `max_trace_events` are kept.
struct trace_event {
  time_point at;
  trace_event_kind kind = trace_event_kind::queued;
  std::string backend_server;
  std::int64_t value = 0;
};

inline constexpr std::size_t max_trace_events = 12;

/// Value of `trace_event_kind::no_room` when the workspace's concurrency limit is reached.
inline constexpr std::int64_t no_concurrency = -1;

/// Queue state of one model or service.
struct service_view {
  std::string serves;
  std::array<std::uint32_t, tier_count> queued{};
  std::array<std::uint32_t, tier_count> running{};
  /// Requests dispatched per second while the tier was waiting; 0 if unknown.
  std::array<double, tier_count> drain_rate{};
  std::uint32_t candidates = 0;
  std::uint32_t ejected = 0;
};

/// This router's state of one backend server.
struct server_view {
  std::string id;
  std::string incarnation;
  std::uint32_t in_flight = 0;
  /// Estimated in-flight requests of other routers.
  double peer_in_flight = 0;
  /// Requests allowed at the server, summed over all routers.
  double window = 0;
  double first_token_ms = 0;
  double per_token_ms = 0;
  bool ejected = false;
  bool leaving = false;
};

/// Totals since the scheduler was created.
struct scheduler_totals {
  std::uint64_t submitted = 0;
  std::uint64_t assigned = 0;
  std::uint64_t refused = 0;
  std::uint64_t preempted = 0;
  std::uint64_t retried = 0;
  std::uint64_t completed = 0;
  /// Tokens received from engines.
  std::uint64_t tokens = 0;
  /// Tokens of requests that ended incomplete.
  std::uint64_t wasted_tokens = 0;
};

/// State of the whole scheduler.
struct scheduler_view {
  std::vector<service_view> services;
  std::vector<server_view> servers;
  scheduler_totals totals;
  /// Waiting requests by tier over all services; reported to peers.
  std::array<std::uint32_t, tier_count> waiting{};
};

}  // namespace hawthornnotch::policy

#endif  // HAWTHORNNOTCH_POLICY_VIEW_H_
