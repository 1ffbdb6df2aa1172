/// \file
/// How slow a server is at the moment, by its own reports.
#ifndef HAWTHORNNOTCH_DISPATCH_REPORTED_SPEED_H_
#define HAWTHORNNOTCH_DISPATCH_REPORTED_SPEED_H_

#include <cstdint>
#include <optional>

#include "hawthornnotch/base/clock.h"

namespace hawthornnotch::dispatch {

/// The last slowness that a server incarnation reported, to this VM or to another one.
///
/// A machine's speed changes within a few hundred ms, so a report's weight halves each 250 ms and
/// is zero after 1 s; one that another VM has seen is used only while younger than 500 ms.
///
/// Example:
///     speed.record_own(2.5, now);
///     const double gap_ms = learned_gap_ms * speed.correction(1.0, now);
/// Ownership: a value.  Thread safety: none.
class reported_speed {
 public:
  struct report {
    /// Multiple of the usual time that work takes.
    double slowness = 1.0;
    time_point at;
    bool from_peer = false;
  };
  /// Age below which a report is passed on, and used by another VM.
  static constexpr duration shared_lifetime{500};

  void record_own(double slowness, time_point reported_at) {
    record(own_, {slowness, reported_at, false});
  }
  void record_peer(double slowness, time_point reported_at) {
    record(peer_, {slowness, reported_at, true});
  }
  /// \returns the newest report that has a weight; none if there is none.
  [[nodiscard]] std::optional<report> newest(time_point now) const;
  /// \returns the last report to this VM; none if it is too old to be passed on.
  [[nodiscard]] std::optional<report> to_share(time_point now) const;
  /// \returns the factor by which an estimate changes that contains the slowness `learned`.  The
  /// report replaces what was learned, to the extent of its weight, rather than being added to it.
  [[nodiscard]] double correction(double learned, time_point now) const;
  /// \returns whether the server is slow at the moment.
  [[nodiscard]] bool is_slow(time_point now) const;

 private:
  static void record(std::optional<report>& last, report next);
  std::optional<report> own_;
  std::optional<report> peer_;
};

}  // namespace hawthornnotch::dispatch

#endif  // HAWTHORNNOTCH_DISPATCH_REPORTED_SPEED_H_
