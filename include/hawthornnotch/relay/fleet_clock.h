/// \file
/// A clock that the entry VMs of a fleet share.
#ifndef HAWTHORNNOTCH_RELAY_FLEET_CLOCK_H_
#define HAWTHORNNOTCH_RELAY_FLEET_CLOCK_H_

#include <algorithm>

#include "hawthornnotch/base/clock.h"

namespace hawthornnotch::relay {

/// The age of the fleet's oldest process, as far as it is known here.  Entry VMs exchange their
/// readings and each keeps the greatest, so readings differ by no more than a message's delay.
/// Independent of wall clocks, which may jump.
///
/// Ownership: a value.  Thread safety: none.
class fleet_clock {
 public:
  /// \param started when this process started, on its monotonic clock.
  explicit fleet_clock(time_point started) : epoch_(started) {}
  /// \returns the fleet's time at the monotonic time `now`.
  [[nodiscard]] time_point at(time_point now) const { return {(now - epoch_).ms}; }
  /// Advances to the reading of another entry VM if that is greater.
  void advance_to(time_point reading, time_point now) {
    epoch_ = std::min(epoch_, now - duration{reading.ms});
  }

 private:
  // When the fleet's time was 0, on this process's monotonic clock.
  time_point epoch_;
};

}  // namespace hawthornnotch::relay

#endif  // HAWTHORNNOTCH_RELAY_FLEET_CLOCK_H_
