#include "hawthornnotch/autoscale/capacity_model.h"

#include <algorithm>
#include <cmath>

namespace hawthornnotch::autoscale {

namespace {

constexpr double ms_per_s = 1'000.0;
/// Time within which prompts that wait shall be prefilled: the longest target for a first event.
constexpr double catch_up_ms = 2'000.0;
/// Busy fraction at which prompts seldom wait for longer than one prefill.
constexpr double target_utilization = 0.6;
/// Busy fraction that servers bear for the few seconds until more have booted.
constexpr double burst_utilization = 0.85;
/// A burst reaches two and a half times the usual load.
constexpr double burst_factor = 2.5;
/// A rise of the demand is extrapolated to this multiple at most.
constexpr double max_projection = 1.5;
/// Share of late first events that shows that servers bear less than the model says.
constexpr double tolerated_late_share = 0.05;
constexpr double max_strain = 2.5;
/// Prompts that are cached after all, or servers that are faster than thought, make the model find
/// up to this much too few servers.
constexpr double min_strain = 0.4;
constexpr double strain_growth_per_s = 1.1;
constexpr double strain_half_life_ms = 60'000.0;

std::uint32_t servers_for(double busy, double utilization) {
  // A value that is whole but for rounding needs no further server.
  constexpr double rounding = 1e-6;
  return static_cast<std::uint32_t>(std::ceil(std::max(busy / utilization - rounding, 0.0)));
}

double busy_servers(const service_demand& demand) {
  const double by_slots = (demand.running + demand.waiting) / std::max(demand.slots, 1.0);
  if (demand.prefill_tokens_per_ms <= 0) {
    return by_slots;
  }
  const double tokens_per_ms =
      demand.prefill_tokens_per_s / ms_per_s + demand.prefill_tokens / catch_up_ms;
  return std::max(by_slots, tokens_per_ms / demand.prefill_tokens_per_ms);
}

}  // namespace

void peak_hold::add(double value, time_point now) {
  while (!recent_.empty() && recent_.back().second <= value) {
    recent_.pop_back();
  }
  recent_.emplace_back(now, value);
  while (now - recent_.front().first > window_) {
    recent_.pop_front();
  }
  const double passed = static_cast<double>((now - updated_at_).ms);
  const double decayed = held_ * std::exp2(-passed / static_cast<double>(half_life_.ms));
  // The highest value holds for the window; only then does it decay.
  held_ = std::max(recent_.front().second, decayed);
  updated_at_ = now;
}

void capacity_model::observe(const service_demand& demand, std::uint32_t serving,
                             duration boot_time, time_point now) {
  update_strain(demand, serving, now);
  const double busy = busy_servers(demand) * required_.strain;
  fast_.add(busy, 1.0, now);
  slow_.add(busy, 1.0, now);
  usual_.add(busy, 1.0, now);
  recent_.add(fast_.value(), now);
  peak_.add(fast_.value(), now);
  required_.busy = busy;
  required_.usual = usual_.value();
  required_.peak = peak_.value();
  required_.least = servers_for(projected(boot_time), burst_utilization);
  required_.quality = servers_for(projected(boot_time), target_utilization);
  required_.target = std::max(servers_for(peak_.value(), burst_utilization),
                              servers_for(usual_.value() * burst_factor, burst_utilization));
}

void capacity_model::update_strain(const service_demand& demand, std::uint32_t serving,
                                   time_point now) {
  const double passed = std::clamp(static_cast<double>((now - strained_at_).ms), 0.0, ms_per_s);
  strained_at_ = now;
  const bool suffering = demand.waiting > 0 || demand.late_share > tolerated_late_share;
  const bool model_finds_enough = serving >= required_.quality;
  const bool model_finds_overload = serving < required_.least;
  if (suffering && model_finds_enough) {
    const double grown = required_.strain * std::pow(strain_growth_per_s, passed / ms_per_s);
    required_.strain = std::min(grown, max_strain);
  } else if (!suffering && model_finds_overload) {
    const double fallen = required_.strain / std::pow(strain_growth_per_s, passed / ms_per_s);
    required_.strain = std::max(fallen, min_strain);
  } else if (!suffering) {
    required_.strain = 1.0 + (required_.strain - 1.0) * std::exp2(-passed / strain_half_life_ms);
  }
}

double capacity_model::projected(duration boot_time) const {
  const double held = recent_.value();
  // The two means lag by different times; their difference over that of the lags is the slope.
  const double lag_difference = static_cast<double>((trend_smoothing - smoothing).ms);
  const double slope = std::max(fast_.value() - slow_.value(), 0.0) / lag_difference;
  const double rise = slope * static_cast<double>(boot_time.ms);
  return std::min(held + rise, held * max_projection);
}

}  // namespace hawthornnotch::autoscale
