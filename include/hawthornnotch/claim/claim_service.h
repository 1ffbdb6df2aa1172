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
  /// Hash of method, target and body; tells a retry from another use of the key.
  std::string fingerprint;
  /// For logs and dumps only.
  std::string request_id;
};

/// Names one owned claim.  Opaque: only `claim_service` makes it.
struct claim_token {
  /// The platform's key.
  std::string key;
  /// Differs for each attempt of each process.
  std::string nonce;
};

/// Only this process may ever dispatch the request, and once.
struct owned {
  claim_token token;
};
/// The request ran before; this is its answer.
struct recorded {
  unsigned status = 0;
  std::string content_type;
  std::string body;
  /// False: the answer was longer than the bound, and `body` is empty.
  bool body_kept = true;
};
/// Another attempt holds the claim and may still be running.
struct in_progress {
  duration retry_after;
};
/// Another attempt held the claim, may have run, and its result can't be learned.
struct outcome_unknown {};
/// The key was used before with another body.
struct key_conflict {};

enum class not_run_reason : std::uint8_t { platform_down, platform_slow, table_full, stopping };

/// The request didn't run, and no process will run this attempt later.
struct not_run {
  not_run_reason why = not_run_reason::platform_down;
  duration retry_after;
};

using verdict = std::variant<owned, recorded, in_progress, outcome_unknown, key_conflict, not_run>;

struct claim_settings {
  /// A claim is decided or closed within this time.
  duration claim_timeout{1'000};
  /// Pause between two tries of the same write.
  duration retry_pause{100};
  /// Writes that fail for so long are an outage: new claims are then refused at once for this time.
  duration outage_pause{500};
  /// How long `record` waits for its write before it answers `false`; the write goes on.
  duration record_timeout{2'000};
  /// Age from which the claim of another process counts as unknown instead of in progress.
  duration in_progress_limit{60'000};
  /// How long a settled key is kept: callers may retry a key for this long.
  duration retention{86'400'000};
  /// Claims that this process holds or settles at once.
  std::size_t live_claims = 4096;
  /// Writes that go into one transaction.
  std::size_t writes_per_commit = 48;
  /// Transactions outstanding at once.
  std::size_t commits_in_flight = 2;
  /// Least time between the starts of two transactions; bounds this process's platform writes.
  duration commit_interval{0};
  /// Longer answers are recorded without their body, bytes.
  std::size_t recorded_body_limit = 65'536;
  /// Bound of all answers that wait to be stored, bytes; beyond it they are stored without body.
  std::size_t waiting_body_limit = 4'194'304;
};

enum class claim_failure : std::uint8_t { empty_incarnation, settings_out_of_range };

/// Counters and sizes for the dump.
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
  /// Settled keys that were stored without an end of retention, since no lease was at hand.
  std::uint64_t stored_without_lease = 0;
  bool platform_down = false;
};

/// Decides which process may dispatch a non-idempotent request, by one compare-and-swap a key.
///
/// Example:
///     service->claim({workspace, key, fingerprint, id}, [&](claim::verdict seen) {
///       std::visit(overloaded{[&](claim::owned mine) { ... }, ...}, std::move(seen));
///     });
///     // just before the first byte goes to the backend server:
///     if (!service->begin_dispatch(token)) { /* answer not_run */ }
///     // and exactly one of:
///     service->record(token, answer, [](bool stored) { ... });
///     service->record_unknown(token);
///     service->release_unsent(token, [](bool stored) { ... });
/// Ownership: refers to the platform client and the clock, which outlive it.  Destroy it only when
/// the client runs no more callbacks, or let them run: a late callback finds it gone and ends.
/// Thread safety: all members are thread safe; callbacks run without a lock held, on the thread of
/// the platform's callback, of `tick` or of the caller.
class claim_service {
 public:
  using verdict_callback = std::function<void(verdict)>;
  using stored_callback = std::function<void(bool stored)>;

  /// \param incarnation differs for each start of a process (`make_incarnation`).
  static result<std::unique_ptr<claim_service>, claim_failure> create(claim_settings settings,
                                                                      platform::client& platform,
                                                                      const clock& time,
                                                                      std::string incarnation);
  ~claim_service();
  claim_service(const claim_service&) = delete;
  claim_service& operator=(const claim_service&) = delete;

  /// Claims the request's key.  \param done runs exactly once, at the latest at the first `tick`
  /// after the claim timeout; may run inside this call.
  void claim(claim_request request, verdict_callback done);
  /// To be called right before the first byte goes out.
  /// \returns true once for each owned token; false means the request must not be sent.
  [[nodiscard]] bool begin_dispatch(const claim_token& token);
  /// Stores the whole answer.  \param done runs once; false: not known to be stored in time, and
  /// the write is repeated in the background.
  void record(const claim_token& token, recorded answer, stored_callback done);
  /// Stores that the request may have run without a known result.
  void record_unknown(const claim_token& token);
  /// Gives back a claim whose request was never sent; closed locally first, so the token is dead
  /// when this returns.  After `begin_dispatch` it is refused (`false`) and acts as
  /// `record_unknown`.
  /// \param done runs once; true: any router may now claim the key again.
  void release_unsent(const claim_token& token, stored_callback done);
  /// Refuses new claims with `stopping`; claims held are settled as before.
  void stop();
  /// Runs timeouts and repeats; to be called about every 50 ms.
  void tick();
  [[nodiscard]] claim_view view() const;

 private:
  class engine;
  explicit claim_service(std::shared_ptr<engine> held);
  std::shared_ptr<engine> engine_;
};

}  // namespace hawthornnotch::claim

#endif  // HAWTHORNNOTCH_CLAIM_CLAIM_SERVICE_H_
