/// \file
/// What this VM knows of a service whose servers share their machines with others.
#ifndef HAWTHORNNOTCH_DISPATCH_SHARED_SERVICE_H_
#define HAWTHORNNOTCH_DISPATCH_SHARED_SERVICE_H_

#include <algorithm>
#include <cmath>
#include <optional>

#include "hawthornnotch/base/clock.h"

namespace hawthornnotch::dispatch {

/// Whether a service's servers report how slow their machines are, and how many gap-sensitive
/// streams its servers have to be reserved for.
///
/// Example:
///     service.record_slowness(now);
///     service.record_streams(running, now);
///     if (service.is_shared(now)) { reserve(service.planned_streams(now)); }
/// Ownership: a value.  Thread safety: none.
class shared_service {
 public:
  /// Records that a server of the service reported its slowness, to this VM or another one.
  void record_slowness(time_point reported_at) {
    slowness_at_ = std::max(slowness_at_.value_or(reported_at), reported_at);
  }
  /// \returns whether a server has reported its slowness within the last 10 s.
  [[nodiscard]] bool is_shared(time_point now) const {
    return slowness_at_ && now - *slowness_at_ <= shared_lifetime;
  }
  /// Records how many gap-sensitive streams run in the fleet.
  void record_streams(double running, time_point now) {
    planned_ = std::max(running, planned_streams(now));
    planned_at_ = now;
    if (running > 0) {
      stream_at_ = now;
    }
  }
  /// Records that a gap-sensitive stream has arrived here.
  void record_stream_arrival(time_point now) { stream_at_ = now; }
  /// \returns the streams to reserve servers for.  It follows a rise at once, because a burst is
  /// over within seconds, and a fall slowly, so that the reserve does not change with each stream.
  [[nodiscard]] double planned_streams(time_point now) const {
    const auto age_ms = static_cast<double>(std::max(now - planned_at_, duration{0}).ms);
    return planned_ * std::exp2(-age_ms / static_cast<double>(half_life.ms));
  }
  /// \returns whether gap-sensitive streams have arrived or run lately.
  [[nodiscard]] bool has_streams(time_point now) const {
    return stream_at_ && now - *stream_at_ <= stream_lifetime;
  }

 private:
  static constexpr duration shared_lifetime{10'000};
  /// Time in which the planned streams fall to half when fewer run.
  static constexpr duration half_life{3'000};
  /// Time for which servers stay reserved after the last stream.
  static constexpr duration stream_lifetime{5'000};
  std::optional<time_point> slowness_at_;
  std::optional<time_point> stream_at_;
  double planned_ = 0;
  time_point planned_at_;
};

}  // namespace hawthornnotch::dispatch

#endif  // HAWTHORNNOTCH_DISPATCH_SHARED_SERVICE_H_
