/// \file
/// Decides which entry VMs read the platform's store, and when.
#ifndef HAWTHORNNOTCH_RELAY_READING_SCHEDULE_H_
#define HAWTHORNNOTCH_RELAY_READING_SCHEDULE_H_

#include <cstddef>
#include <cstdint>
#include <optional>

#include "hawthornnotch/base/clock.h"

namespace hawthornnotch::relay {

/// Rank of an entry VM in an order of the live VMs that all of them compute alike.
struct store_rank {
  /// Live VMs of the whole fleet that come before it.
  std::size_t in_fleet = 0;
  /// Live VMs of its failure domain that come before it.
  std::size_t in_domain = 0;
};

/// \returns whether the VM registers itself in the store.  The first two VMs of each failure domain
/// do, so that VMs that know no peer can discover the fleet.
[[nodiscard]] bool registers_in_store(const store_rank& rank);

/// Exponential backoff with jitter for failing calls to the store.  It is short for the VMs that
/// read on behalf of others, and long for all other VMs, which learn from them that the store is
/// back.
class store_backoff {
 public:
  void succeeded() { failures_ = 0; }
  /// Records a failed call.
  /// \param random_fraction 0 to 1, a new random value for each call.
  /// \returns how long to wait before the next call.
  duration failed_now(const store_rank& rank, double random_fraction);

 private:
  std::uint32_t failures_ = 0;
};

/// How data is kept up to date.
enum class reading_kind : std::uint8_t {
  /// Read again whenever the known copy gets too old.
  polled,
  /// Watched continuously by one VM, which notifies the others.
  watched,
};

struct reading_settings {
  reading_kind kind = reading_kind::polled;
  /// Upper bound for the age of the data while the store is available.
  duration max_staleness;
  /// 0 to 1, random and constant per process: prevents simultaneous calls by many VMs.
  double jitter = 0;
  /// True if other VMs contact this one when they start, so that it does not wait for them.
  bool peers_ask_at_startup = false;
};

/// Decides when this VM reads a piece of data from the store instead of learning it from its peers.
///
/// Each VM reads once the data exceeds a maximum age that depends on the VM's rank, so that
/// normally the first VM of the fleet reads on behalf of all.  If the first VMs are dead or
/// rejected by the store, or a failure domain is partitioned, the next ones take over as the data
/// ages.  The number of calls does not grow with the size of the fleet, also when hundreds of VMs
/// start, lose the store or regain it at the same moment.  Failed calls are retried after
/// `store_backoff`.
///
/// Example:
///     reading_schedule schedule(settings, clock.now());
///     if (schedule.due(age, newest_id, rank, clock.now())) {
///       schedule.began(newest_id);
///       read();
///     }
/// Ownership: a value.  Thread safety: none.
class reading_schedule {
 public:
  /// \param started_at when the process started.
  reading_schedule(reading_settings settings, time_point started_at)
      : settings_(settings), started_at_(started_at) {}

  /// \param age age of the known data; nothing if none is known.
  /// \param newest_id id of the newest known read by any VM; 0 for none.
  /// \returns whether this VM should start a read now.
  [[nodiscard]] bool due(std::optional<duration> age, std::uint64_t newest_id,
                         const store_rank& rank, time_point now) const;
  /// Records that a read started.
  /// \param newest_id as for `due`.
  void began(std::uint64_t newest_id);
  /// Records a successful read.
  /// \param newest_id as for `due`, after the call has ended and before its result is merged.
  /// \param own_id id of the read by this call.
  /// \param changed whether the call returned a change.
  void succeeded(std::uint64_t newest_id, std::uint64_t own_id, bool changed);
  /// Records a failed read.
  /// \param random_fraction 0 to 1, a new random value for each call.
  /// \returns the backoff until the next read may be due.
  duration failed_now(const store_rank& rank, double random_fraction, time_point now);
  /// The first watch call of a VM that takes over and the one after a change are short, because the
  /// other VMs need a prompt confirmation that their data is current.
  /// \param newest_id as for `due`.
  /// \returns how long a call that waits for changes may take.
  [[nodiscard]] duration watch_time(std::uint64_t newest_id) const;
  /// \returns the age of the data at which a VM of this rank reads the store.
  [[nodiscard]] duration max_age(const store_rank& rank) const;

 private:
  [[nodiscard]] bool warmed_up(time_point now) const;
  [[nodiscard]] duration startup_delay() const;
  /// \returns whether no other VM has read since this one's last read.
  [[nodiscard]] bool is_sole_reader(std::uint64_t newest_id) const;
  /// \returns `max_age` of VMs that read only if all designated readers fail.
  [[nodiscard]] duration fallback_max_age() const;

  reading_settings settings_;
  time_point started_at_;
  time_point next_call_at_;
  store_backoff backoff_;
  bool in_progress_ = false;
  /// `newest_id` when the call in progress started.
  std::uint64_t newest_id_at_start_ = 0;
  /// Id of the read by the last call; 0 if another VM read meanwhile.
  std::uint64_t sole_read_id_ = 0;
  /// Whether the last call returned a change.
  bool changed_ = false;
};

}  // namespace hawthornnotch::relay

#endif  // HAWTHORNNOTCH_RELAY_READING_SCHEDULE_H_
