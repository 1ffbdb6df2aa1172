/// \file
/// Decides whether this entry VM may perform the duties that one VM performs at a time.
#ifndef HAWTHORNNOTCH_DUTIES_DUTY_HOLDER_H_
#define HAWTHORNNOTCH_DUTIES_DUTY_HOLDER_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/lease/lease_holder.h"
#include "hawthornnotch/platform/client.h"
#include "hawthornnotch/relay/store_era.h"
#include "hawthornnotch/replication/replicated_table.h"

namespace hawthornnotch::duties {

/// Keys of the lease in the store.
inline constexpr std::string_view lease_key = "hn/duty/lease";
inline constexpr std::string_view fence_key = "hn/duty/fence";

/// Subject of the record in which a holder publishes its fencing number.
inline constexpr std::string_view holder_subject = "holder";

/// Permission to perform the duties.
struct duty_term {
  /// Sent with each call; no other holder has the same.
  std::uint64_t fencing = 0;
  time_point valid_until;
  /// Store revision of the lease's key, for conditions of transactions.
  std::int64_t lease_revision = 0;
};

struct duty_holder_settings {
  std::string vm;
  /// Life of the lease.
  duration lease_time{3'000};
  /// Time before the lease can expire at which the holder stops acting.
  duration safety_margin{750};
  /// Interval between reads of the lease's key by a VM that does not hold it.
  duration poll_interval{1'500};
  /// Interval between calls of `step`.
  duration step_period{100};
};

/// State of the process that decides about its candidacy.
struct duty_conditions {
  /// This VM is the first live one of its failure domain.
  bool first_in_domain = false;
  bool stopping = false;
  bool call_in_progress = false;
};

/// The beginning or the end of a term, for logs.
struct term_change {
  bool began = false;
  std::uint64_t fencing = 0;
  /// Why it ended.
  lease::lease_end reason = lease::lease_end::none;
};

/// Holds the lease of all duties, and says when this VM may act on it.
///
/// Beyond the lease itself there is no action
/// - in the first lease time after this process started or learned of a new era of the store: a
///   holder that has not learned of the restore may still act on the lease that it got before;
/// - while this process may have been suspended: its last step is over 500 ms late, or it resumed
///   less than 300 ms ago.
/// After the end of a term this VM is no candidate for one lease time, so that the duties do not
/// return to it while another VM's calls are recent.
///
/// The fencing number is published to the other VMs.  The greatest number heard is a lower bound of
/// later ones, and while a holder's record is recent other candidates do not read the store.
///
/// Failures: while the store is unreachable the holder acts to the end of its lease, and no VM
/// takes over.  See `lease_holder` for calls that fail or whose answer is lost.
///
/// Example:
///     holder.step(conditions, now);                        // every `step_period`
///     if (auto term = holder.term(now)) { call(term->fencing); }
/// Ownership: refers to the store, the clock, the era and the records.  Thread safety: none.
class duty_holder {
 public:
  duty_holder(platform::key_value_store& store, const clock& time, const relay::store_era& era,
              replication::replicated_table& records, duty_holder_settings settings);

  /// Starts the calls to the store that are due.
  /// \returns whether a term began or ended since the last call.
  std::optional<term_change> step(const duty_conditions& conditions, time_point now);
  /// \returns the term in which this VM may act at `now`, if there is one.
  [[nodiscard]] std::optional<duty_term> term(time_point now) const;
  /// Ends the term with this number, after the lease's key was found changed.
  void lease_key_changed(std::uint64_t fencing) { lease_->key_changed(fencing); }
  /// \returns the fencing number of the lease that is held, also while this VM must not act yet; 0
  /// if there is none.
  [[nodiscard]] std::uint64_t held_fencing() const { return lease_->fencing().value_or(0); }

 private:
  void observe_suspension(time_point now);
  void observe_era(time_point now);
  // Takes note of the fencing numbers that other VMs published.
  void merge_records(time_point now);
  [[nodiscard]] bool is_candidate(const duty_conditions& conditions, time_point now) const;
  std::optional<term_change> detect_change(time_point now);
  void publish(std::uint64_t fencing, bool held, time_point now);

  const relay::store_era& era_;
  replication::replicated_table& records_;
  duty_holder_settings settings_;
  std::unique_ptr<lease::lease_holder> lease_;
  std::int64_t known_era_ = 0;
  time_point stepped_at_;
  // No action before: after a suspension, and in a new era.
  time_point quiet_until_;
  time_point act_from_;
  time_point candidate_from_;
  // When the newest record of another holder was written.
  std::optional<time_point> other_holder_at_;
  time_point merge_at_;
  time_point publish_at_;
  // Of the term that was last published; 0 if it ended.
  std::uint64_t fencing_ = 0;
  bool released_ = false;
};

}  // namespace hawthornnotch::duties

#endif  // HAWTHORNNOTCH_DUTIES_DUTY_HOLDER_H_
