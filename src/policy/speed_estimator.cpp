#include "hawthornnotch/policy/speed_estimator.h"

namespace hawthornnotch::policy {

namespace {
constexpr duration first_token_half_life{2'000};
constexpr duration per_token_half_life{500};
constexpr duration norm_half_life{60'000};
}  // namespace

speed_estimator::speed_estimator(server_speed prior)
    : first_token_(first_token_half_life, prior.first_token_ms),
      per_token_(per_token_half_life, prior.per_token_ms),
      per_token_norm_(norm_half_life, prior.per_token_ms) {}

void speed_estimator::on_first_token(duration waited, time_point now) {
  first_token_.add(static_cast<double>(waited.ms), 1.0, now);
}

void speed_estimator::on_tokens(std::uint32_t count, duration span, time_point now) {
  if (count == 0) {
    return;
  }
  const double each = static_cast<double>(span.ms) / count;
  per_token_.add(each, count, now);
  per_token_norm_.add(each, count, now);
}

server_speed speed_estimator::present() const { return {first_token_.value(), per_token_.value()}; }

double speed_estimator::slowdown() const {
  constexpr double min_norm_ms = 0.1;
  return per_token_.value() / std::fmax(per_token_norm_.value(), min_norm_ms);
}

}  // namespace hawthornnotch::policy
