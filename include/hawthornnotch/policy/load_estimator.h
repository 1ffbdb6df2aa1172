/// \file
/// Estimated load of other routers on one backend server.
#ifndef HAWTHORNNOTCH_POLICY_LOAD_ESTIMATOR_H_
#define HAWTHORNNOTCH_POLICY_LOAD_ESTIMATOR_H_

#include <cstdint>
#include <deque>

#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/policy/decaying_mean.h"

namespace hawthornnotch::policy {

/// Derives the requests of other routers from delayed load reports.
///
/// A report counts the requests of all routers at the time it was measured.  This router's own
/// requests at that time are subtracted.  As the report ages, the estimate moves from the newest
/// report to the mean of the reports.  Reports that are not newer than the last one are ignored.
/// Ownership: a value.  Thread safety: none; `server_state` protects it.
class load_estimator {
 public:
  /// \param half_life age at which the newest report and the mean have equal weight.
  explicit load_estimator(duration half_life);
  /// This router's in-flight requests at the server changed to `in_flight`.
  void on_own_in_flight(std::uint32_t in_flight, time_point now);
  /// \param total requests running and waiting at the server at `measured`.
  void on_report(std::uint32_t total, time_point measured);
  /// \returns estimated in-flight requests of other routers at `now`.
  [[nodiscard]] double peer_in_flight(time_point now) const;

 private:
  struct own_change {
    time_point at;
    std::uint32_t in_flight = 0;
  };
  [[nodiscard]] std::uint32_t own_at(time_point when) const;

  duration half_life_;
  std::deque<own_change> own_changes_;
  time_point measured_;
  double newest_ = 0;
  decaying_mean mean_;
};

}  // namespace hawthornnotch::policy

#endif  // HAWTHORNNOTCH_POLICY_LOAD_ESTIMATOR_H_
