/// \file
/// How many servers the demand for a service calls for.
#ifndef HAWTHORNNOTCH_AUTOSCALE_CAPACITY_MODEL_H_
#define HAWTHORNNOTCH_AUTOSCALE_CAPACITY_MODEL_H_

#include <cstdint>
#include <deque>
#include <utility>

#include "hawthornnotch/autoscale/fleet_state.h"
#include "hawthornnotch/policy/decaying_mean.h"

namespace hawthornnotch::autoscale {

/// Highest value of the last `window`; an older one decays with the half-life.
class peak_hold {
 public:
  peak_hold(duration window, duration half_life) : window_(window), half_life_(half_life) {}
  void add(double value, time_point now);
  [[nodiscard]] double value() const { return held_; }

 private:
  duration window_;
  duration half_life_;
  /// Values that no later one exceeds, with the times at which they were added.
  std::deque<std::pair<time_point, double>> recent_;
  double held_ = 0;
  time_point updated_at_;
};

/// Numbers of servers that a demand calls for.
struct required_capacity {
  /// Servers that the demand keeps fully busy now.
  double busy = 0;
  /// Mean and highest `busy` of the last time.
  double usual = 0;
  double peak = 0;
  /// How much more servers are needed than the model says; 1 if it is right.
  double strain = 1.0;
  /// Bear the present demand until others have booted: worth on-demand prices.
  std::uint32_t least = 0;
  /// Serve the present demand within its targets.
  std::uint32_t quality = 0;
  /// Absorb a burst, or one like the last, until ordered servers have booted.  Must remain when the
  /// preemptible servers of a failure domain are lost.
  std::uint32_t target = 0;
};

/// Estimates the required capacity from what is observed every 500 ms.
///
/// A server is busy in proportion to its slots taken or to the time that it prefills prompts,
/// whichever is greater: slots alone are not the limit of a service with long prompts.  Prompts
/// that wait are added as prefill that is caught up within two seconds.  If requests are late or
/// wait although the model finds enough servers, a factor (`strain`) grows until they no longer do,
/// and then decays.  It falls while none are late although the model finds the servers overloaded.
/// This is how the model learns what a server bears.
///
/// Example: `model.observe(demand, 90, now); std::uint32_t needed = model.required().target;`
/// Ownership: a value.  Thread safety: none.
class capacity_model {
 public:
  /// \param serving servers of both kinds that serve the demand.
  /// \param boot_time over which a rise of the demand is extrapolated.
  void observe(const service_demand& demand, std::uint32_t serving, duration boot_time,
               time_point now);
  [[nodiscard]] const required_capacity& required() const { return required_; }

 private:
  void update_strain(const service_demand& demand, std::uint32_t serving, time_point now);
  /// \returns the demand extrapolated by its present rise.
  [[nodiscard]] double projected(duration boot_time) const;

  static constexpr duration recent_window{3'000};
  static constexpr duration peak_window{30'000};
  static constexpr duration peak_half_life{20'000};
  static constexpr duration smoothing{500};
  static constexpr duration trend_smoothing{2'000};
  static constexpr duration usual_half_life{20'000};
  static constexpr double negligible_weight = 0.0001;

  required_capacity required_;
  peak_hold recent_{recent_window, smoothing};
  peak_hold peak_{peak_window, peak_half_life};
  policy::decaying_mean fast_{smoothing, 0.0, negligible_weight};
  policy::decaying_mean slow_{trend_smoothing, 0.0, negligible_weight};
  policy::decaying_mean usual_{usual_half_life, 0.0, negligible_weight};
  time_point strained_at_;
};

}  // namespace hawthornnotch::autoscale

#endif  // HAWTHORNNOTCH_AUTOSCALE_CAPACITY_MODEL_H_
