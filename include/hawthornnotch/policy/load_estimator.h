/// \file
/// What other routers have running at one backend server.
#ifndef HAWTHORNNOTCH_POLICY_LOAD_ESTIMATOR_H_
#define HAWTHORNNOTCH_POLICY_LOAD_ESTIMATOR_H_

#include <cstdint>
#include <deque>

#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/policy/decaying_mean.h"

namespace hawthornnotch::policy {

/// Corrects lagging load reports by this router's own requests at the time of the report.
///
/// A report counts the requests of all routers as of `measured`.  What this router had running then
/// is subtracted; the rest belongs to others.  As the report ages the estimate moves from it to the
/// mean of the reports.
/// Ownership: a value.  Thread safety: none; `server_state` protects it.
class load_estimator {
 public:
  /// \param half_life age at which the newest report counts half.
  explicit load_estimator(duration half_life);
  /// Own requests at the server changed to `in_flight`.
  void on_own(std::uint32_t in_flight, time_point now);
  /// \param total running and waiting at the server at `measured`.
  void on_report(std::uint32_t total, time_point measured);
  /// \returns estimated requests of other routers at `now`.
  [[nodiscard]] double peer_in_flight(time_point now) const;

 private:
  struct own_change {
    time_point at;
    std::uint32_t in_flight = 0;
  };
  [[nodiscard]] std::uint32_t own_at(time_point when) const;

  duration half_life_;
  std::deque<own_change> own_;
  time_point measured_;
  double newest_ = 0;
  decaying_mean mean_;
};

}  // namespace hawthornnotch::policy

#endif  // HAWTHORNNOTCH_POLICY_LOAD_ESTIMATOR_H_
