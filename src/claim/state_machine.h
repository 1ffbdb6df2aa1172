// State machine behind claim_service.
#ifndef HAWTHORNNOTCH_CLAIM_STATE_MACHINE_H_
#define HAWTHORNNOTCH_CLAIM_STATE_MACHINE_H_

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "hawthornnotch/claim/claim_record.h"
#include "hawthornnotch/claim/claim_service.h"
#include "hawthornnotch/claim/group_commit.h"
#include "retention_lease.h"

namespace hawthornnotch::claim {

// Callbacks collected while the lock is held and run after it is released.
using deferred_calls = std::vector<std::function<void()>>;

// State of one key that this process is working on.
//
//   claiming --write applied, or own nonce read back--> owned --begin_dispatch--> dispatched
//   claiming --timeout, write may have applied--> settling (released)
//   owned --release_unsent--> settling (released)
//   owned, dispatched --record, record_unknown--> settling (done, unknown)
//   settling --stored--> erased
//
// A nonce that goes from `claiming` to `settling` never becomes owned.  This is why `not_run` holds
// even if the write is applied later.
struct claim_entry {
  enum class phase : std::uint8_t { claiming, owned, dispatched, settling };

  phase current_phase = phase::claiming;
  // The current attempt; while settling, `state` is the state to be stored.
  claim_record record;
  // Nonces of earlier attempts of this process on this key that ended unsent.
  std::vector<std::string> closed_nonces;
  // Revision of the stored value that this attempt may replace; 0 if none is known.
  std::int64_t replaceable_revision = 0;
  // True once a failed write of this key may have been applied.
  bool may_have_applied = false;
  // The outstanding write.
  std::optional<group_commit::write_id> pending_write;
  // Content of the outstanding or last write, which may be behind `record`.
  std::uint64_t write_number = 0;
  std::string written_nonce;
  record_state written_state = record_state::claimed;
  time_point retry_at;
  time_point deadline;
  claim_service::claim_callback on_decided;
  claim_service::stored_callback on_stored;
};

class claim_service::state_machine
    : public std::enable_shared_from_this<claim_service::state_machine> {
 public:
  state_machine(claim_settings settings, platform::client& platform, const clock& time,
                std::string incarnation);

  void claim(claim_request request, claim_callback done);
  bool begin_dispatch(const claim_token& token);
  void record(const claim_token& token, recorded_answer answer, stored_callback done);
  void record_unknown(const claim_token& token);
  void release_unsent(const claim_token& token, stored_callback done);
  void stop();
  void tick();
  [[nodiscard]] claim_view view() const;

 private:
  using entries = std::map<std::string, claim_entry, std::less<>>;
  using phase = claim_entry::phase;

  // Sends queued writes and runs `calls`.  Call this without the lock.
  void run_deferred(const deferred_calls& calls);
  std::string next_nonce();

  // \returns `not_run` if a claim must be refused without a write.
  std::optional<claim_outcome> refuse_immediately(const std::string& key);
  // \returns the outcome that this process's own entry decides, if any.
  std::optional<claim_outcome> outcome_of_local(const claim_entry& local,
                                                const claim_request& request);
  void start_attempt(const std::string& key, claim_request request, claim_callback done,
                     deferred_calls& calls);
  // \returns false if the table is full and no entry can be evicted.
  bool evict_if_full();
  // \returns true if the circuit breaker refuses new claims.
  bool circuit_open() const;
  not_run make_not_run(not_run_reason reason) const;

  claim_entry* find_held(const claim_token& token);
  void settle(const std::string& key, claim_entry& entry, record_state goal, stored_callback done);
  recorded_answer limit_body(recorded_answer answer) const;
  std::size_t pending_body_bytes() const;

  void write(const std::string& key, claim_entry& entry);
  void write_finished(const std::string& key, std::uint64_t number, const write_outcome& outcome);
  void on_applied(entries::iterator at, std::int64_t mod_revision, deferred_calls& calls);
  void on_conflict(entries::iterator at, const std::optional<platform::key_value>& current,
                   deferred_calls& calls);
  void on_failure(entries::iterator at, const platform::platform_failure& failure,
                  deferred_calls& calls);
  void on_claiming_conflict(entries::iterator at, const claim_record& stored,
                            std::int64_t mod_revision, deferred_calls& calls);
  void on_settling_conflict(entries::iterator at, const claim_record& stored,
                            std::int64_t mod_revision, deferred_calls& calls);
  claim_outcome outcome_of_stored(const claim_entry& entry, const claim_record& stored) const;

  void on_platform_success();
  void on_platform_failure(bool down);
  static bool needs_no_cleanup(const claim_entry& entry);
  void decide(claim_entry& entry, claim_outcome outcome, deferred_calls& calls);
  void become_owned(claim_entry& entry, const std::string& key, deferred_calls& calls);
  void close_unsent(entries::iterator at, not_run_reason reason, deferred_calls& calls);
  void finish(entries::iterator at, bool stored, deferred_calls& calls);
  void tick_entry(entries::iterator at, deferred_calls& calls);

  const claim_settings settings_;
  const clock& time_;
  const std::string incarnation_;
  const std::shared_ptr<group_commit> commits_;
  const std::shared_ptr<retention_lease> retention_lease_;

  mutable std::mutex mutex_;
  entries entries_;
  std::uint64_t last_nonce_number_ = 0;
  std::uint64_t last_write_number_ = 0;
  bool stopping_ = false;
  std::optional<time_point> failing_since_;
  // Set while the circuit breaker is open or half-open.
  std::optional<not_run_reason> outage_reason_;
  time_point circuit_open_until_;
  claim_view totals_;
};

}  // namespace hawthornnotch::claim

#endif  // HAWTHORNNOTCH_CLAIM_STATE_MACHINE_H_
