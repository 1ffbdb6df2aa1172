#include "hawthornnotch/policy/settings.h"

#include <algorithm>

namespace hawthornnotch::policy {

namespace {

template <class T>
bool within(T value, T min_fraction, T max_fraction) {
  return min_fraction <= value && value <= max_fraction;
}

bool valid(const queue_settings& queue) {
  const bool shares = std::all_of(queue.least_share.begin(), queue.least_share.end(),
                                  [](double share) { return within(share, 0.0, 0.2); });
  return shares && within<std::size_t>(queue.max_queued, 1, 1'000'000) &&
         queue.max_dispatch_gap.ms > 0 && within(queue.late_dispatch_interval, 2U, 100U) &&
         queue.default_retry_after.ms > 0 && queue.max_retry_after >= queue.default_retry_after;
}

bool valid(const choice_settings& choice) {
  return within(choice.candidates, 1U, 16U) &&
         within(choice.most_candidates, choice.candidates, 64U) &&
         within(choice.prefix_bonus, 0.0, 1.0) && choice.prefixes <= 100'000 &&
         within<std::size_t>(choice.min_subset_size, 2, 10'000) &&
         within(choice.routers_per_server, 1U, 32U);
}

bool valid(const window_settings& window) {
  const auto& open = window.tier_window_fraction;
  const bool parts =
      std::all_of(open.begin(), open.end(), [](double part) { return part > 0.0 && part <= 1.0; });
  const bool falling = std::is_sorted(open.rbegin(), open.rend());
  return parts && falling && window.min_fraction > 0 && window.min_fraction <= 1.0 &&
         within(window.max_fraction, 1.0, 8.0) && within(window.increase, 0.0, 1.0) &&
         within(window.decrease, 0.1, 0.99) && window.decrease_pause.ms > 0 &&
         within(window.first_token_fraction, 0.05, 1.0) && within(window.shift_gain, 0.0, 32.0) &&
         within(window.shift_threshold, 0.0, 10.0) && window.shift_half_life.ms > 0 &&
         window.report_half_life.ms > 0;
}

bool valid(const ejection_settings& ejection) {
  return within(ejection.slow_factor, 1.5, 20.0) && within(ejection.failures, 1U, 100U) &&
         ejection.first_time.ms > 0 && ejection.longest_time >= ejection.first_time &&
         within(ejection.max_ejected_fraction, 0.0, 0.5);
}

bool valid(const length_settings& length) {
  return within(length.quantile, 0.5, 0.99) && within(length.decay, 0.9, 0.9999) &&
         length.prior_tokens > 0;
}

bool valid(const preemption_settings& preemption) {
  return preemption.lowest_entitled <= tier_count && preemption.slack.ms >= 0 &&
         preemption.max_pending <= 1000;
}

bool valid(const retry_settings& retry) {
  return within(retry.max_attempts, 1U, 10U) && within(retry.most_saved, 1.0, 1000.0);
}

}  // namespace

std::optional<scheduler_failure> find_failure(const scheduler_settings& settings) {
  if (!valid(settings.queue)) {
    return scheduler_failure::queue_out_of_range;
  }
  if (!valid(settings.choice)) {
    return scheduler_failure::choice_out_of_range;
  }
  if (!valid(settings.window)) {
    return scheduler_failure::window_out_of_range;
  }
  if (!valid(settings.ejection)) {
    return scheduler_failure::ejection_out_of_range;
  }
  if (!valid(settings.length)) {
    return scheduler_failure::length_out_of_range;
  }
  if (!valid(settings.preemption)) {
    return scheduler_failure::preemption_out_of_range;
  }
  if (!valid(settings.retry)) {
    return scheduler_failure::retry_out_of_range;
  }
  if (!within(settings.shards, 1U, 16U)) {
    return scheduler_failure::shards_out_of_range;
  }
  return std::nullopt;
}

}  // namespace hawthornnotch::policy
