/// \file
/// What became of requests: attainment, goodput and wasted work by class, tier, backend server.
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
  /// The whole answer was handed over.
  completed,
  /// Refused before any part of it ran.
  not_run,
  /// Broken off; it may have run.
  unknown,
  /// The caller left first.
  caller_gone,
};

std::string_view to_string(request_end end);

/// One request at its end.  Texts are borrowed for the length of the call.
struct finished_request {
  std::string_view workspace;
  std::string_view class_name;
  tier service_tier = 0;
  latency_target target;
  /// Backend server of the last try; empty if there was none.
  std::string_view backend_server;
  request_end end = request_end::completed;
  duration queue_wait;
  /// From arrival to the first token; absent if no token came.
  std::optional<duration> first_token;
  /// Mean time between tokens of the answer; absent with fewer than two tokens.
  std::optional<duration> between_tokens;
  /// From arrival to the last byte.
  duration completion;
  /// Tokens that the caller received in a completed answer.
  std::uint64_t useful_tokens = 0;
  /// Tokens generated for this request that no completed answer holds.
  std::uint64_t wasted_tokens = 0;
  /// Tries beyond the first.
  std::uint32_t retries = 0;
};

/// Which targets a request met; a target that the class does not have counts as met.
struct target_check {
  bool first_token = false;
  bool between_tokens = false;
  bool completion = false;
  [[nodiscard]] bool all() const { return first_token && between_tokens && completion; }
};

/// \returns the targets met; none unless the request completed.
target_check check_targets(const finished_request& request);

/// Accounts for every request once, at its end.
///
/// Example:
///     auto outcomes = request_outcomes::create(metrics, clock);
///     outcomes->record(finished);
/// Ownership: refers to metrics and clock, which outlive it.  Thread safety: all members are thread
/// safe; classes are spread over shards, each under its own lock.
class request_outcomes {
 public:
  [[nodiscard]] static std::unique_ptr<request_outcomes> create(metrics& all, const clock& time);
  virtual ~request_outcomes() = default;
  virtual void record(const finished_request& request) = 0;
  /// \returns `{"uptime_ms":…,"classes":[{"class":…,"tier":…,"ended":…,"completed":…,
  /// "in_target":…,"attainment":…,"goodput_per_s":…,…}]}` for the dump.  At most 256 classes are
  /// told apart; further ones are counted together as class `other`.
  [[nodiscard]] virtual std::string summary_json() const = 0;
};

}  // namespace hawthornnotch::observe

#endif  // HAWTHORNNOTCH_OBSERVE_REQUEST_OUTCOMES_H_
