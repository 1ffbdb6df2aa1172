// The state machine behind claim_service.
#ifndef HAWTHORNNOTCH_CLAIM_ENGINE_H_
#define HAWTHORNNOTCH_CLAIM_ENGINE_H_

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

// Callbacks collected under the lock and run after it.
using deferred_calls = std::vector<std::function<void()>>;

// One key that this process works on.
//
//   claiming --applied or own nonce read back--> owned --begin_dispatch--> dispatched
//   claiming --timeout, may have landed--> settling (goal released)
//   owned --release_unsent--> settling (released)
//   owned, dispatched --record, record_unknown--> settling (done, unknown)
//   settling --stored--> forgotten
//
// A nonce that left `claiming` for `settling` never becomes owned: that is what makes `not_run`
// true, whatever lands in the store later.
struct claim_entry {
  enum class phase : std::uint8_t { claiming, owned, dispatched, settling };

  phase now = phase::claiming;
  // Nonce, fingerprint and request of the current attempt; `state` is the goal while settling.
  claim_record record;
  // Nonces of earlier attempts of this process on this key that were closed unsent.
  std::vector<std::string> closed_nonces;
  // Revision of what stands there and may be replaced by this attempt; 0: nothing known.
  std::int64_t replaceable = 0;
  // True once a write of this key may have taken effect without our knowing.
  bool may_have_landed = false;
  // The outstanding write.
  std::optional<group_commit::write_id> writing;
  // What the outstanding or last write says; the attempt may have moved on meanwhile.
  std::uint64_t write_number = 0;
  std::string writing_nonce;
  record_state writing_state = record_state::claimed;
  time_point retry_at;
  time_point deadline;
  claim_service::verdict_callback decided;
  claim_service::stored_callback stored;
};

class claim_service::engine : public std::enable_shared_from_this<claim_service::engine> {
 public:
  engine(claim_settings settings, platform::client& platform, const clock& time,
         std::string incarnation);

  void claim(claim_request request, verdict_callback done);
  bool begin_dispatch(const claim_token& token);
  void record(const claim_token& token, recorded answer, stored_callback done);
  void record_unknown(const claim_token& token);
  void release_unsent(const claim_token& token, stored_callback done);
  void stop();
  void tick();
  [[nodiscard]] claim_view view() const;

 private:
  using entries = std::map<std::string, claim_entry, std::less<>>;
  using phase = claim_entry::phase;

  // Runs what was collected and lets queued writes leave; to be called without the lock.
  void run(const deferred_calls& calls);
  std::string next_nonce();

  std::optional<verdict> refuse_at_once(const std::string& key);
  std::optional<verdict> verdict_of_local(const claim_entry& local, const claim_request& request);
  void start_attempt(const std::string& key, claim_request request, verdict_callback done,
                     deferred_calls& calls);
  bool make_room();
  bool platform_suspect() const;
  not_run refusal(not_run_reason why) const;

  claim_entry* held_by(const claim_token& token);
  void settle(const std::string& key, claim_entry& entry, record_state goal, stored_callback done);
  recorded bounded(recorded answer) const;
  std::size_t waiting_body_bytes() const;

  void write(const std::string& key, claim_entry& entry);
  void write_finished(const std::string& key, std::uint64_t number, const write_outcome& seen);
  void on_applied(entries::iterator at, std::int64_t mod_revision, deferred_calls& calls);
  void on_conflict(entries::iterator at, const std::optional<platform::key_value>& current,
                   deferred_calls& calls);
  void on_failure(entries::iterator at, const platform::platform_failure& why,
                  deferred_calls& calls);
  void claiming_met(entries::iterator at, const claim_record& seen, std::int64_t mod_revision,
                    deferred_calls& calls);
  void settling_met(entries::iterator at, const claim_record& seen, std::int64_t mod_revision,
                    deferred_calls& calls);
  verdict verdict_of_other(const claim_entry& entry, const claim_record& seen) const;

  void platform_answered();
  void platform_failed(bool down);
  static bool nothing_landed(const claim_entry& entry);
  void decide(claim_entry& entry, verdict what, deferred_calls& calls);
  void become_owned(claim_entry& entry, const std::string& key, deferred_calls& calls);
  void close_unsent(entries::iterator at, not_run_reason why, deferred_calls& calls);
  void finish(entries::iterator at, bool stored, deferred_calls& calls);
  void tick_entry(entries::iterator at, deferred_calls& calls);

  const claim_settings settings_;
  const clock& time_;
  const std::string incarnation_;
  const std::shared_ptr<group_commit> group_;
  const std::shared_ptr<retention_lease> lease_;

  mutable std::mutex mutex_;
  entries entries_;
  std::uint64_t last_number_ = 0;
  std::uint64_t last_write_ = 0;
  bool stopping_ = false;
  std::optional<time_point> failing_since_;
  // Set while writes fail, until one succeeds.
  std::optional<not_run_reason> outage_;
  time_point refuse_until_;
  claim_view totals_;
};

}  // namespace hawthornnotch::claim

#endif  // HAWTHORNNOTCH_CLAIM_ENGINE_H_
