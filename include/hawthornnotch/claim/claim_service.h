/// \file
/// At-most-once execution of non-idempotent requests.  See docs/design/0002-at-most-once.md.
#ifndef HAWTHORNNOTCH_CLAIM_CLAIM_SERVICE_H_
#define HAWTHORNNOTCH_CLAIM_CLAIM_SERVICE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>

#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/base/result.h"
#include "hawthornnotch/platform/client.h"

namespace hawthornnotch::claim {

/// One non-idempotent request as its caller sent it.
struct claim_request {
  std::string workspace;
  /// The caller's Idempotency-Key.
  std::string key;
  /// Hash of method, target and body; distinguishes a retry from reuse of the key for another
  /// request.
  std::string fingerprint;
  /// For logs and dumps only.
  std::string request_id;
};

/// Identifies one owned claim.  Opaque: only `claim_service` creates it.
struct claim_token {
  /// Key in the platform's store.
  std::string key;
  /// Unique per attempt and process.
  std::string nonce;
};

/// Only this process may dispatch the request, and only once.
struct owned {
  claim_token token;
};
/// The answer of an earlier execution of the request.
struct recorded_answer {
  unsigned status = 0;
  std::string content_type;
  std::string body;
  /// False if the answer exceeded a size limit; `body` is then empty.
  bool body_kept = true;
};
/// Another attempt holds the claim and may still be running.
struct in_progress {
  duration retry_after;
};
/// Another attempt may have run the request; its result can't be determined.
struct outcome_unknown {};
/// The key was used before with another fingerprint.
struct key_conflict {};

enum class not_run_reason : std::uint8_t { platform_down, platform_slow, table_full, stopping };

/// The request did not run, and no process will run this attempt later.
struct not_run {
  not_run_reason reason = not_run_reason::platform_down;
  duration retry_after;
};

using claim_outcome =
    std::variant<owned, recorded_answer, in_progress, outcome_unknown, key_conflict, not_run>;

struct claim_settings {
  /// Time limit for deciding a claim.
  duration claim_timeout{1'000};
  /// Delay before a failed write is retried.
  duration retry_pause{100};
  /// Writes that keep failing for this long count as an outage; new claims are then refused without
  /// a write for the same time.
  duration outage_pause{500};
  /// Time after which `record` reports `false`; the write is still retried.
  duration record_timeout{2'000};
  /// Age at which another process's claim is reported as `outcome_unknown` instead of
  /// `in_progress`.
  duration in_progress_limit{60'000};
  /// How long a settled key is kept; callers may retry a key for this long.
  duration retention{86'400'000};
  /// Maximum number of claims that this process holds or settles at the same time.
  std::size_t live_claims = 4096;
  /// Maximum number of writes in one transaction.
  std::size_t writes_per_commit = 48;
  /// Maximum number of outstanding transactions.
  std::size_t commits_in_flight = 2;
  /// Minimum time between the starts of two transactions; limits this process's write rate.
  duration commit_interval{0};
  /// Longer answers are recorded without their body; in bytes.
  std::size_t recorded_body_limit = 65'536;
  /// Limit on the total body size of answers waiting to be stored, in bytes; answers beyond it are
  /// stored without their body.
  std::size_t waiting_body_limit = 4'194'304;
};

enum class claim_failure : std::uint8_t { empty_incarnation, settings_out_of_range };

/// Counters and sizes for the state dump.
struct claim_view {
  std::size_t claiming = 0;
  std::size_t owned = 0;
  std::size_t settling = 0;
  std::size_t queued_writes = 0;
  std::size_t commits_in_flight = 0;
  std::uint64_t commits = 0;
  std::uint64_t writes = 0;
  std::uint64_t failed_commits = 0;
  std::uint64_t owned_total = 0;
  std::uint64_t not_run_total = 0;
  std::uint64_t conflicts_total = 0;
  /// Settled keys that were stored without a lease because none was available; these never expire.
  std::uint64_t stored_without_lease = 0;
  bool platform_down = false;
};

/// Executes non-idempotent requests at most once: one compare-and-swap per key in the platform's
/// store decides which process may dispatch a request.
///
/// Failures:
/// - The platform is unreachable or doesn't answer within the claim timeout: the claim ends with
///   `not_run`.  A write that may still take effect is undone in the background.
/// - Writes keep failing, or a connection is refused: a circuit breaker refuses new claims without
/// a write for `outage_pause`,
///   then lets one claim through at a time until a write succeeds.
/// - The owner crashes: other processes get `in_progress` until `in_progress_limit`, then
///   `outcome_unknown`.  The key is never released, since the request may have been sent.
/// - A settled state is not stored in time: the callback gets false and the write is retried.
///
/// Example:
///     service->claim({workspace, key, fingerprint, id}, [&](claim::claim_outcome outcome) {
///       std::visit(overloaded{[&](claim::owned claim) { ... }, ...}, std::move(outcome));
///     });
///     // immediately before the first byte is sent to the backend server:
///     if (!service->begin_dispatch(token)) { /* answer not_run */ }
///     // and exactly one of:
///     service->record(token, answer, [](bool stored) { ... });
///     service->record_unknown(token);
///     service->release_unsent(token, [](bool stored) { ... });
/// Ownership: refers to the platform client and the clock, which must outlive it.  Client callbacks
/// that run after its destruction have no effect.
/// Thread safety: all members are thread safe.  Callbacks run without a lock held, on the thread of
/// the platform's callback, of `tick` or of the caller.
class claim_service {
 public:
  using claim_callback = std::function<void(claim_outcome)>;
  using stored_callback = std::function<void(bool stored)>;

  /// \param incarnation unique per process start (`make_incarnation`); must not be empty.
  static result<std::unique_ptr<claim_service>, claim_failure> create(claim_settings settings,
                                                                      platform::client& platform,
                                                                      const clock& time,
                                                                      std::string incarnation);
  ~claim_service();
  claim_service(const claim_service&) = delete;
  claim_service& operator=(const claim_service&) = delete;

  /// Claims the request's key.
  /// \param done runs exactly once, at the latest in the first `tick` after the claim timeout; may
  /// run inside this call.
  void claim(claim_request request, claim_callback done);
  /// Marks the request as sent.  Call this immediately before its first byte is sent.
  /// \returns true once per owned token; on false the request must not be sent.
  [[nodiscard]] bool begin_dispatch(const claim_token& token);
  /// Stores the complete answer.
  /// \param done runs once, with false if the write was not confirmed in time (it is then retried
  /// in the background), the token is not held, or the stored key belongs to another attempt.
  void record(const claim_token& token, recorded_answer answer, stored_callback done);
  /// Stores that the request may have run and that its result is not known.
  void record_unknown(const claim_token& token);
  /// Releases a claim whose request was never sent.  The token is invalid when this returns.  After
  /// `begin_dispatch` this acts as `record_unknown` and `done` gets false.
  /// \param done runs once, with true if any router may now claim the key again.
  void release_unsent(const claim_token& token, stored_callback done);
  /// Refuses new claims with `not_run_reason::stopping`; held claims can still be settled.
  void stop();
  /// Handles timeouts and retries.  Call this about every 50 ms.
  void tick();
  [[nodiscard]] claim_view view() const;

 private:
  class state_machine;
  explicit claim_service(std::shared_ptr<state_machine> machine);
  std::shared_ptr<state_machine> state_machine_;
};

}  // namespace hawthornnotch::claim

#endif  // HAWTHORNNOTCH_CLAIM_CLAIM_SERVICE_H_
