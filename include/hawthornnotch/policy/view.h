/// \file
/// What the scheduler shows of itself: for dumps, metrics and the explanation of one request.
#ifndef HAWTHORNNOTCH_POLICY_VIEW_H_
#define HAWTHORNNOTCH_POLICY_VIEW_H_

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/config/model.h"

namespace hawthornnotch::policy {

/// One step in the life of a request.
enum class trace_event_kind : std::uint8_t {
  /// Value: queue length of its tier.
  queued,
  /// Value: expected first-token time, milliseconds.
  assigned,
  /// Taken by the share of a lower tier.  Value: tier.
  share_turn,
  /// Not sent, noted once in a row.  Value: candidates drawn, none of which had room, or
  /// `no_concurrency`.
  no_room,
  /// Value: the refusal, as its enumerator's number.
  refused,
  /// Value: tokens sent so far.
  preempted,
  /// Value: tokens sent so far.
  queued_again,
  /// Value: the end, as its enumerator's number.
  finished,
};

/// One note about a request; at most `most_notes` are kept.
struct trace_event {
  time_point at;
  trace_event_kind kind = trace_event_kind::queued;
  std::string backend_server;
  std::int64_t value = 0;
};

inline constexpr std::size_t most_notes = 12;

/// Value of `trace_event_kind::no_room` when the workspace's concurrency is used up.
inline constexpr std::int64_t no_concurrency = -1;

/// Queue of one model or service.
struct service_view {
  std::string serves;
  std::array<std::uint32_t, tier_count> queued{};
  std::array<std::uint32_t, tier_count> running{};
  /// Requests dispatched each second while the tier was waiting; 0 if not measured.
  std::array<double, tier_count> drain_rate{};
  std::uint32_t candidates = 0;
  std::uint32_t ejected = 0;
};

/// One backend server as this router sees it.
struct server_view {
  std::string id;
  std::string incarnation;
  std::uint32_t in_flight = 0;
  /// Estimated requests of other routers.
  double peer_in_flight = 0;
  /// Requests allowed at the server over all routers.
  double window = 0;
  double first_token_ms = 0;
  double per_token_ms = 0;
  bool ejected = false;
  bool leaving = false;
};

/// Totals since start.
struct scheduler_totals {
  std::uint64_t submitted = 0;
  std::uint64_t assigned = 0;
  std::uint64_t refused = 0;
  std::uint64_t preempted = 0;
  std::uint64_t retried = 0;
  std::uint64_t completed = 0;
  /// Tokens that left an engine, as counted from the streams.
  std::uint64_t tokens = 0;
  /// Tokens of streams that ended without a complete answer and were not resumed.
  std::uint64_t wasted_tokens = 0;
};

/// All of the above.
struct scheduler_view {
  std::vector<service_view> services;
  std::vector<server_view> servers;
  scheduler_totals totals;
  /// Waiting requests by tier over all services: for the load messages to peers.
  std::array<std::uint32_t, tier_count> waiting{};
};

}  // namespace hawthornnotch::policy

#endif  // HAWTHORNNOTCH_POLICY_VIEW_H_
