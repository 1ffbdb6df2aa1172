/// \file
/// Admission, queueing and backend server selection on the data path.
#ifndef HAWTHORNNOTCH_POLICY_SCHEDULER_H_
#define HAWTHORNNOTCH_POLICY_SCHEDULER_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/base/result.h"
#include "hawthornnotch/config/model.h"
#include "hawthornnotch/member/fleet.h"
#include "hawthornnotch/policy/settings.h"
#include "hawthornnotch/policy/view.h"

namespace hawthornnotch::policy {

/// Handle of a request, valid until the request ends.
using ticket = std::uint64_t;

/// The properties of a request that scheduling depends on.
struct request_profile {
  std::string id;
  std::string workspace;
  request_class traffic_class;
  workspace_limits limits;
  /// Retries that each 100 requests of the workspace earn.
  std::uint32_t retry_percent = 10;
  /// Requested model or service.
  std::string serves;
  std::uint32_t prompt_bytes = 0;
  /// Hash of the leading bytes of the prompt, 0 for none; requests with equal hashes can share a
  /// cached prefix.
  std::uint64_t prefix_hash = 0;
};

/// Why a request is refused.
enum class refusal : std::uint8_t {
  /// No server that takes new work serves the model or service.
  no_backend_server,
  /// The workspace's request rate is exceeded.
  workspace_rate,
  /// The workspace has too many queued requests.
  workspace_queue,
  /// The request was shed because the queue is full.
  queue_full,
  /// The request waited, or is expected to wait, longer than the queue limit of its class.
  queue_limit_passed,
  /// The workspace's retry budget is used up.
  retry_budget,
};

/// Decision: send the request to this backend server now.
struct assigned {
  ticket request = 0;
  std::string backend_server;
  endpoint address;
  /// Number of the attempt, from 1; events of earlier attempts are ignored.
  std::uint32_t attempt = 1;
  /// Priority passed to the engine; lower is more urgent.
  std::uint8_t engine_priority = 0;
};

/// Decision: reject the request; its ticket is no longer valid.
struct refused {
  ticket request = 0;
  refusal reason = refusal::queue_full;
  /// Retry-After, from the measured drain rate.
  duration retry_after;
};

/// Decision: cancel the stream at its engine, then report `attempt_end::preempted`.
struct preempted {
  ticket request = 0;
};

using decision = std::variant<assigned, refused, preempted>;

/// How an attempt ended.
enum class attempt_end : std::uint8_t {
  completed,
  caller_gone,
  preempted,
  /// Nothing was sent, so that requests of any class may be retried.
  connect_failed,
  /// The server answered that it is overloaded.
  server_busy,
  /// The stream was interrupted, stalled or malformed.
  stream_failed,
};

/// Decides when and on which backend server each request runs.
///
/// The scheduler does no I/O: the owner reports events through the `on_...` members and carries out
/// the decisions.  Events with an unknown ticket or an old attempt number are ignored.
///
/// Example:
///     auto made = scheduler::create(scheduler_settings{}, clock, seed);
///     scheduler& scheduler = **made;
///     scheduler.apply(fleet, own_vm);
///     ticket request = scheduler.submit(profile);
///     for (const decision& next : scheduler.take_decisions()) { std::visit(act, next); }
///     scheduler.on_first_token(request, 1);
///     scheduler.on_tokens(request, 1, 5);
///     scheduler.on_finished(request, 1, attempt_end::completed);
/// Each request ends exactly once: by a `refused` decision, by `on_finished`, by `on_caller_gone`,
/// or by `retry` returning false.  An idempotent request that was `preempted` does not end: it is
/// queued again.
/// Ownership: owns all its state; the clock outlives it.
/// Thread safety: all members are thread-safe.  State is sharded by model or service name with a
/// lock per shard; the counters of each backend server and workspace have their own lock.
class scheduler {
 public:
  /// \param settings see settings.h; checked against the ranges documented there.
  /// \param time clock; outlives the scheduler.
  /// \param seed seed of all random choices.
  /// \returns the scheduler, or the first group of settings that is out of range.
  [[nodiscard]] static result<std::unique_ptr<scheduler>, scheduler_failure> create(
      scheduler_settings settings, const clock& time, std::uint64_t seed);

  virtual ~scheduler() = default;
  scheduler(const scheduler&) = delete;
  scheduler& operator=(const scheduler&) = delete;

  /// Queues a request.  \returns its ticket; the outcome comes from `take_decisions`.
  virtual ticket submit(request_profile profile) = 0;
  /// Runs the policy; to be called after each event and about every 10 ms.
  /// \returns new decisions, in the order in which to carry them out.
  virtual std::vector<decision> take_decisions() = 0;
  /// Reports the first token of an attempt.
  virtual void on_first_token(ticket request, std::uint32_t attempt) = 0;
  /// Reports received tokens.
  /// \param count tokens since the last call, including the first token of the attempt.
  virtual void on_tokens(ticket request, std::uint32_t attempt, std::uint32_t count) = 0;
  /// Reports the end of an attempt that is not to be retried.  `attempt_end::preempted` queues an
  /// idempotent request again.
  virtual void on_finished(ticket request, std::uint32_t attempt, attempt_end end) = 0;
  /// Reports a failed attempt and asks for a retry.
  /// \returns true if the request is queued again, preferring another backend server; false if it
  /// has ended: the attempts or the retry budget are used up, or it is not idempotent and `end` is
  /// not `connect_failed`.
  virtual bool retry(ticket request, std::uint32_t attempt, attempt_end end) = 0;
  /// Reports that the caller disconnected; ends the request whether queued or running.
  virtual void on_caller_gone(ticket request) = 0;
  /// Applies a new fleet snapshot.
  /// \param own_vm id of this router's entry VM.
  virtual void apply(std::shared_ptr<const fleet_snapshot> fleet, std::string_view own_vm) = 0;
  /// \returns a snapshot of the state for dumps and metrics.
  [[nodiscard]] virtual scheduler_view view() const = 0;
  /// \returns the trace of a request, oldest event first; kept for a short time after the request
  /// ends, empty if unknown.
  [[nodiscard]] virtual std::vector<trace_event> explain(ticket request) const = 0;

 protected:
  scheduler() = default;
};

}  // namespace hawthornnotch::policy

#endif  // HAWTHORNNOTCH_POLICY_SCHEDULER_H_
