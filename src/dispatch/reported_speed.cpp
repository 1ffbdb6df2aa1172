#include "hawthornnotch/dispatch/reported_speed.h"

#include <algorithm>
#include <cmath>

namespace hawthornnotch::dispatch {

namespace {

constexpr duration half_life{250};
constexpr duration lifetime{1'000};
/// A report beyond these counts as this one, so that a false one cannot make a server free or
/// unusable.
constexpr double min_slowness = 0.5;
constexpr double max_slowness = 10.0;
/// Weighted slowness from which a server is slow at the moment.
constexpr double slow_from = 1.3;

double weight_of(const reported_speed::report& what, time_point now) {
  const duration age = std::max(now - what.at, duration{0});
  return std::exp2(-static_cast<double>(age.ms) / static_cast<double>(half_life.ms));
}

}  // namespace

void reported_speed::record(std::optional<report>& last, report next) {
  if (!last || next.at >= last->at) {
    next.slowness = std::clamp(next.slowness, min_slowness, max_slowness);
    last = next;
  }
}

std::optional<reported_speed::report> reported_speed::newest(time_point now) const {
  const bool has_own = own_ && now - own_->at < lifetime;
  const bool has_peer = peer_ && now - peer_->at < shared_lifetime;
  if (has_own && has_peer) {
    return own_->at >= peer_->at ? own_ : peer_;
  }
  if (has_own) {
    return own_;
  }
  return has_peer ? peer_ : std::nullopt;
}

std::optional<reported_speed::report> reported_speed::to_share(time_point now) const {
  return own_ && now - own_->at < shared_lifetime ? own_ : std::nullopt;
}

double reported_speed::correction(double learned, time_point now) const {
  const auto last = newest(now);
  if (!last || learned <= 0) {
    return 1.0;
  }
  const double weight = weight_of(*last, now);
  return 1.0 + weight * (last->slowness / learned - 1.0);
}

bool reported_speed::is_slow(time_point now) const { return correction(1.0, now) >= slow_from; }

}  // namespace hawthornnotch::dispatch
