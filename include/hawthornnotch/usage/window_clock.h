/// \file
/// True time, derived from the wall clocks of all entry VMs.
#ifndef HAWTHORNNOTCH_USAGE_WINDOW_CLOCK_H_
#define HAWTHORNNOTCH_USAGE_WINDOW_CLOCK_H_

#include <cstdint>
#include <optional>

#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/replication/replicated_table.h"

namespace hawthornnotch::usage {

/// \returns the number of the window that contains `true_time`; windows are counted from 1970.
[[nodiscard]] std::int64_t window_at(time_point true_time, duration window_length);

/// Estimates true time as the median over the entry VMs, so that it stays right while fewer than
/// half of the wall clocks are wrong.
///
/// Each process publishes the offset of its wall clock to the fleet's clock, which runs alike on
/// all VMs.  A process does not follow a step of its own wall clock until the step has lasted for
/// ten minutes; until then it continues from the time before the step.  So a clock that jumps and
/// jumps back changes nothing, not even in a fleet of one or two VMs, and a step in the same
/// second on most VMs does not change the median.
///
/// Example:
///     window_clock time;
///     time.update({clock.wall(), fleet_time, clock.now()}, table);   // four times a second
///     const std::int64_t window = window_at(time.at(clock.now()), 5_s);
/// Ownership: a value.  Thread safety: none.
class window_clock {
 public:
  /// Three clocks of this process, read at the same time.
  struct readings {
    time_point wall;
    time_point fleet;
    time_point steady;
  };

  /// Observes the clocks, publishes the offset in `table` and updates the median.
  void update(const readings& clocks, replication::replicated_table& table);
  /// \returns true time at the monotonic time `now`.  \pre update() was called
  [[nodiscard]] time_point at(time_point now) const { return now + true_offset_; }
  /// \returns how far this VM's own wall clock is from true time.
  [[nodiscard]] duration own_error() const { return raw_offset_ - true_offset_; }

 private:
  struct step {
    duration offset;
    time_point seen_at;
  };

  void track_wall(const readings& clocks);
  void track_fleet(const readings& clocks);
  void publish(duration offset, time_point now, replication::replicated_table& table);

  // Of the wall clock to the monotonic clock, as read.
  duration raw_offset_;
  // The same without steps that have not lasted yet; none before the first reading.
  std::optional<duration> held_offset_;
  std::optional<step> step_;
  // Of the fleet's clock to the monotonic clock, and since when it has not changed.
  std::optional<duration> fleet_offset_;
  time_point fleet_settled_at_;
  std::optional<duration> published_;
  time_point published_at_;
  std::optional<time_point> median_at_;
  // Of true time to the monotonic clock.
  duration true_offset_;
};

}  // namespace hawthornnotch::usage

#endif  // HAWTHORNNOTCH_USAGE_WINDOW_CLOCK_H_
