/// \file
/// Which entry VMs call the platform's store, and when.
#ifndef HAWTHORNNOTCH_RELAY_READING_SCHEDULE_H_
#define HAWTHORNNOTCH_RELAY_READING_SCHEDULE_H_

#include <cstddef>
#include <cstdint>
#include <optional>

#include "hawthornnotch/base/clock.h"

namespace hawthornnotch::relay {

/// Place of an entry VM in an order of the live ones that all of them compute alike.
struct store_position {
  /// Live VMs of the fleet that come before it.
  std::size_t in_fleet = 0;
  /// Live VMs of its own failure domain that come before it.
  std::size_t in_domain = 0;
};

/// \returns whether the VM keeps an entry of its own in the store, through which VMs that know
/// nobody find the fleet: two of each failure domain do.
[[nodiscard]] bool registers_in_store(const store_position& rank);

/// Pauses between calls of one kind while they fail: short where the VM calls for others, long for
/// all others, who will hear of the store's return.
class store_backoff {
 public:
  void succeeded() { failures_ = 0; }
  /// \param drawn 0 to 1, drawn anew each time.
  /// \returns how long to wait before the next call.
  duration failed_now(const store_position& rank, double drawn);

 private:
  std::uint32_t failures_ = 0;
};

/// What kind of knowledge is kept up to date.
enum class reading_kind : std::uint8_t {
  /// Read anew each time it grows old.
  polled,
  /// Watched without a break by one VM, which tells the others.
  watched,
};

struct reading_settings {
  reading_kind kind = reading_kind::polled;
  /// Knowledge may not be older than this where the store answers.
  duration max_staleness;
  /// Drawn once a process, 0 to 1: spreads VMs that would otherwise call at the same moment.
  double jitter = 0;
  /// True if others ask this VM when they start, so it does not wait for them.
  bool peers_ask_at_startup = false;
};

/// Decides when this VM reads one thing from the store instead of hearing it from the others.
///
/// Each VM has an age from which on it reads by itself; the order of the VMs sets it, so that in
/// the usual case the first in the fleet reads for all.  Where a failure domain is cut off, or the
/// first ones are refused or dead, the next take over as knowledge grows old.  The load pattern it
/// answers: hundreds of VMs that start, lose the store or find it again at the same moment; the
/// number of calls does not grow with the fleet.
///
/// Example:
///     reading_schedule schedule(settings, clock.now());
///     if (schedule.due(age, newest_id, position, clock.now())) {
///       schedule.began(newest_id);
///       read();
///     }
/// Ownership: a value.  Thread safety: none.
class reading_schedule {
 public:
  /// \param started_at when the process started.
  reading_schedule(reading_settings settings, time_point started_at)
      : settings_(settings), started_at_(started_at) {}

  /// \param age of what is known; none where nothing is.
  /// \param newest_id names the newest reading known, by whatever VM; 0 for none.
  [[nodiscard]] bool due(std::optional<duration> age, std::uint64_t newest_id,
                         const store_position& rank, time_point now) const;
  /// \param newest_id as for `due`.
  void began(std::uint64_t newest_id);
  /// \param newest_id as for `due`, when the call has ended and before its own result is taken in.
  /// \param own_id names the reading by this call.
  /// \param changed whether the call brought something new.
  void succeeded(std::uint64_t newest_id, std::uint64_t own_id, bool changed);
  /// \param drawn 0 to 1, drawn anew each time.
  /// \returns how long no further call is due.
  duration failed_now(const store_position& rank, double drawn, time_point now);
  /// The first call of a VM that takes over, and the one after a change, are short: all others have
  /// to hear soon that they are up to date.
  /// \param newest_id as for `due`.
  /// \returns how long a call that waits for changes may take.
  [[nodiscard]] duration watch_time(std::uint64_t newest_id) const;
  /// \returns the age from which on a VM at this place reads by itself.
  [[nodiscard]] duration longest_age(const store_position& rank) const;

 private:
  [[nodiscard]] bool settled(time_point now) const;
  [[nodiscard]] duration first_wait() const;
  /// \returns whether no other VM has read since this one did.
  [[nodiscard]] bool reads_alone(std::uint64_t newest_id) const;
  [[nodiscard]] duration longest_age_of_others() const;

  reading_settings settings_;
  time_point started_at_;
  time_point not_before_;
  store_backoff backoff_;
  bool running_ = false;
  /// `newest_id` when the call that runs began.
  std::uint64_t newest_at_call_ = 0;
  /// The reading by the last call; 0 where another VM read meanwhile.
  std::uint64_t last_alone_ = 0;
  /// Whether the last call brought something new.
  bool changed_ = false;
};

}  // namespace hawthornnotch::relay

#endif  // HAWTHORNNOTCH_RELAY_READING_SCHEDULE_H_
