/// \file
/// The policy for one model or service.
#ifndef HAWTHORNNOTCH_POLICY_SERVICE_QUEUE_H_
#define HAWTHORNNOTCH_POLICY_SERVICE_QUEUE_H_

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "hawthornnotch/base/random.h"
#include "hawthornnotch/policy/candidate_set.h"
#include "hawthornnotch/policy/chooser.h"
#include "hawthornnotch/policy/drain_meter.h"
#include "hawthornnotch/policy/request_queue.h"
#include "hawthornnotch/policy/request_record.h"
#include "hawthornnotch/policy/scheduler.h"
#include "hawthornnotch/policy/tier_share.h"

namespace hawthornnotch::policy {

/// Queue, running requests and candidates of one model or service.
///
/// Example: `queue.submit(record, now); queue.run(now, decisions);`
/// Ownership: owns its requests, shares servers and workspaces.
/// Thread safety: none; the shard's lock protects it.
class service_queue {
 public:
  service_queue(std::string serves, const scheduler_settings& settings, std::uint64_t seed);

  /// Replaces the servers and what is known of the peers.
  void set_servers(std::vector<candidate> servers, const sharing& shared, limit_share limits,
                   time_point now);
  /// Replaces what is known of the peers.
  void set_sharing(const sharing& shared, limit_share limits);
  /// \returns routers that use each of the servers.
  [[nodiscard]] std::uint32_t routers() const { return candidates_.shared().routers; }

  void submit(std::unique_ptr<request_record> record, time_point now);
  /// Appends all decisions that are due.
  void run(time_point now, std::vector<decision>& decisions);

  void on_first_token(ticket request, std::uint32_t attempt, time_point now);
  void on_tokens(ticket request, std::uint32_t attempt, std::uint32_t count, time_point now);
  void on_finished(ticket request, std::uint32_t attempt, attempt_end end, time_point now);
  bool retry(ticket request, std::uint32_t attempt, attempt_end end, time_point now);
  void on_caller_gone(ticket request, time_point now);

  /// \returns the record of a request that has not ended, or null.
  [[nodiscard]] const request_record* find(ticket request) const;
  /// Moves out the notes of requests that ended since the last call.
  std::vector<std::pair<ticket, std::vector<trace_event>>> take_ended_notes();
  [[nodiscard]] bool idle() const { return queue_.size() == 0 && ready_.empty(); }
  [[nodiscard]] service_view view() const;
  [[nodiscard]] const scheduler_totals& totals() const { return totals_; }

 private:
  [[nodiscard]] bool may_retry(request_record& record, attempt_end end);
  using record_map = std::unordered_map<ticket, std::unique_ptr<request_record>>;
  using by_dispatch = std::set<std::pair<std::int64_t, ticket>>;

  // Admission.
  [[nodiscard]] bool is_tiered() const;
  [[nodiscard]] tier tier_of(const request_record& record) const;
  [[nodiscard]] double expected_wait_ms(tier service_tier) const;
  [[nodiscard]] duration retry_after(tier service_tier) const;
  [[nodiscard]] time_point start_by(const request_record& record) const;
  [[nodiscard]] std::optional<refusal> reason_to_refuse(const request_record& record,
                                                        time_point now) const;
  void enqueue(request_record& record, bool resumed, time_point now);
  void shed_over_bound(time_point now);
  void refuse_queued(ticket request, refusal reason, time_point now);
  void refuse(std::unique_ptr<request_record> record, refusal reason, duration after,
              time_point now);
  void expire(time_point now);

  // Dispatch.
  void dispatch_tiers(time_point now);
  void dispatch_all(time_point now);
  bool dispatch_next(time_point now);
  [[nodiscard]] tier_share::waiting_tiers waiting() const;
  bool dispatch_from(tier service_tier, bool is_turn, time_point now);
  bool dispatch(ticket request, bool is_turn, time_point now);
  void start(request_record& record, const choice& chosen, bool is_turn, time_point now);
  void park(request_record& record);
  void unpark();

  // Preemption.
  void preempt(time_point now);
  [[nodiscard]] bool urgent(tier service_tier, time_point now) const;
  void stop(request_record& victim, bool yields_to_sent, time_point now);
  [[nodiscard]] request_record* victim_for(tier service_tier) const;
  void free_slots_for_waiting(time_point now);
  [[nodiscard]] request_record* victim_at(const server_state* server, tier service_tier) const;
  [[nodiscard]] bool may_stop(const request_record& record) const;
  void await_first_token(const request_record& record);
  void stop_awaiting(const request_record& record);
  void take_over(const std::shared_ptr<server_state>& server, tier below, time_point now);

  // Events.
  request_record* running(ticket request, std::uint32_t attempt);
  void stop_running(request_record& record, bool queued_again, time_point now);
  void forget(ticket request, attempt_end end, time_point now);
  static void note(request_record& record, time_point now, trace_event_kind kind,
                   std::int64_t value);
  static void note_once(request_record& record, time_point now, trace_event_kind kind,
                        std::int64_t value);
  void keep_notes(request_record& record);

  const std::string serves_;
  const scheduler_settings& settings_;
  random_source random_;
  limit_share limits_;
  request_queue queue_;
  tier_share share_;
  candidate_set candidates_;
  chooser chooser_;
  record_map records_;
  std::array<by_dispatch, tier_count> running_;
  std::unordered_map<const server_state*, std::array<by_dispatch, tier_count>> running_at_;
  // Sent requests of the entitled tiers without a first token, by its target.
  by_dispatch awaiting_;
  std::array<drain_meter, tier_count> drain_;
  std::array<std::uint32_t, tier_count> dispatched_{};
  std::map<std::string, std::deque<ticket>> parked_;
  std::uint32_t stopping_ = 0;
  decaying_mean first_token_ms_;
  decaying_mean per_token_ms_;
  std::vector<decision> ready_;
  std::vector<std::pair<ticket, std::vector<trace_event>>> ended_;
  scheduler_totals totals_;
};

}  // namespace hawthornnotch::policy

#endif  // HAWTHORNNOTCH_POLICY_SERVICE_QUEUE_H_
