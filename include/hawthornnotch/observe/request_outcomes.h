/// \file
/// Request outcomes: attainment, goodput and wasted work by class and tier, and latencies by
/// backend server.
#ifndef HAWTHORNNOTCH_OBSERVE_REQUEST_OUTCOMES_H_
#define HAWTHORNNOTCH_OBSERVE_REQUEST_OUTCOMES_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/config/model.h"
#include "hawthornnotch/observe/metrics.h"

namespace hawthornnotch::observe {

/// How a request ended for its caller.
enum class request_end : std::uint8_t {
  /// The caller received the complete response.
  completed,
  /// Rejected before any part of it was executed.
  not_run,
  /// Aborted; it may have been executed.
  unknown,
  /// The caller disconnected first.
  caller_gone,
};

std::string_view to_string(request_end end);

/// A finished request.  Refers to its texts, which must outlive it.
struct finished_request {
  std::string_view workspace;
  std::string_view class_name;
  tier service_tier = 0;
  latency_target target;
  /// Backend server of the last attempt; empty if there was no attempt.
  std::string_view backend_server;
  request_end end = request_end::completed;
  duration queue_wait;
  /// Time from arrival to the first token; absent if there was no token.
  std::optional<duration> first_token;
  /// Mean time between the tokens of the response; absent for fewer than two tokens.
  std::optional<duration> between_tokens;
  /// Time from arrival to the last byte.
  duration completion;
  /// Tokens that the caller received in a completed response.
  std::uint64_t useful_tokens = 0;
  /// Tokens generated for this request that are not part of a completed response.
  std::uint64_t wasted_tokens = 0;
  /// Attempts after the first.
  std::uint32_t retries = 0;
};

/// Which targets a request met; a target that its class does not define counts as met.
struct target_check {
  bool first_token = false;
  bool between_tokens = false;
  bool completion = false;
  [[nodiscard]] bool all() const { return first_token && between_tokens && completion; }
};

/// \returns the targets that the request met; none unless it completed.
target_check check_targets(const finished_request& request);

/// Records every request once, when it finishes, in the metrics and in a summary by class.
///
/// Example:
///     auto outcomes = request_outcomes::create(metrics, clock);
///     outcomes->record(finished);
/// Ownership: refers to metrics and clock, which outlive it.  Thread safety: all members are thread
/// safe; classes are spread over shards, each with its own lock.
class request_outcomes {
 public:
  [[nodiscard]] static std::unique_ptr<request_outcomes> create(metrics& all, const clock& time);
  virtual ~request_outcomes() = default;
  virtual void record(const finished_request& request) = 0;
  /// \returns `{"uptime_ms":…,"classes":[{"class":…,"tier":…,"ended":…,"completed":…,
  /// "in_target":…,"attainment":…,"goodput_per_s":…,…}]}` for the dump.  At most 256 pairs of class
  /// and tier are listed separately; further ones are counted together as class `other`.
  [[nodiscard]] virtual std::string summary_json() const = 0;
};

}  // namespace hawthornnotch::observe

#endif  // HAWTHORNNOTCH_OBSERVE_REQUEST_OUTCOMES_H_
