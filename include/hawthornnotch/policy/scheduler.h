/// \file
/// Admission, queueing and choice of a backend server: the decisions of the data path.
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
  refusal reason = refusal::queue_full;
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

/// Decides which request runs where and when.
///
/// Example:
///     auto made = scheduler::create(scheduler_settings{}, clock, seed);
///     scheduler& decides = **made;
///     decides.apply(fleet, own_vm);
///     ticket asked = decides.submit(profile);
///     for (const decision& next : decides.take_decisions()) { std::visit(act, next); }
///     decides.on_first_token(asked, 1);
///     decides.on_tokens(asked, 1, 5);
///     decides.on_finished(asked, 1, attempt_end::completed);
/// Each ticket ends exactly once: by a `refused` decision, by `on_finished` with another end than
/// `preempted`, by `on_caller_gone`, or by `retry` returning false.
/// Ownership: owns all its state; the clock outlives it.
/// Thread safety: all members are thread safe.  State is in shards by model or service name, each
/// under its own lock; a backend server's and a workspace's counters have locks of their own.
class scheduler {
 public:
  /// \param settings see settings.h; checked against the ranges stated there.
  /// \param time outlives the scheduler.
  /// \param seed of all random draws.
  /// \returns the scheduler, or which group of settings is out of range.
  [[nodiscard]] static result<std::unique_ptr<scheduler>, scheduler_failure> create(
      scheduler_settings settings, const clock& time, std::uint64_t seed);

  virtual ~scheduler() = default;
  scheduler(const scheduler&) = delete;
  scheduler& operator=(const scheduler&) = delete;

  /// Queues a request.  \returns its ticket; the verdict comes from `take_decisions`.
  virtual ticket submit(request_profile profile) = 0;
  /// Runs the policy at `time.now()`; call after each event and every 10 ms or so.
  /// \returns new dispatches, refusals and preemptions, in the order to carry out.
  virtual std::vector<decision> take_decisions() = 0;
  /// The first token of a try arrived.
  virtual void on_first_token(ticket request, std::uint32_t attempt) = 0;
  /// \param count tokens that arrived since the last call, the first one included.
  virtual void on_tokens(ticket request, std::uint32_t attempt, std::uint32_t count) = 0;
  /// A try ended and is not repeated; `attempt_end::preempted` queues the request again.
  virtual void on_finished(ticket request, std::uint32_t attempt, attempt_end end) = 0;
  /// Asks whether a failed try is repeated.
  /// \returns true if the request is queued again, another backend server preferred; false if it
  /// must be given up, the ticket is then forgotten.  A non-idempotent request is repeated only
  /// after `connect_failed`.
  virtual bool retry(ticket request, std::uint32_t attempt, attempt_end end) = 0;
  /// The caller left; the request is forgotten whether queued or running.
  virtual void on_caller_gone(ticket request) = 0;
  /// Takes a new fleet snapshot.  \param own_vm id of this router's entry VM.
  virtual void apply(std::shared_ptr<const fleet_snapshot> fleet, std::string_view own_vm) = 0;
  /// \returns a copy of the state for dumps and metrics.
  [[nodiscard]] virtual scheduler_view view() const = 0;
  /// \returns notes about a request, also for a short while after its end; oldest first.
  [[nodiscard]] virtual std::vector<trace_event> explain(ticket request) const = 0;

 protected:
  scheduler() = default;
};

}  // namespace hawthornnotch::policy

#endif  // HAWTHORNNOTCH_POLICY_SCHEDULER_H_
