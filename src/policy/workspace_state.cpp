#include "hawthornnotch/policy/workspace_state.h"

#include <algorithm>
#include <cmath>

namespace hawthornnotch::policy {

namespace {

constexpr double burst_seconds = 5.0;
constexpr double idle_share_fraction = 0.5;
constexpr double percent = 100.0;
constexpr double ms_per_s = 1000.0;

double share_of(double limit, limit_share share) {
  return limit * (1.0 + idle_share_fraction * share.idle_peers) / share.routers;
}

bool is_below(std::uint32_t count, std::uint32_t limit, limit_share share) {
  return limit == 0 || count < std::max(1.0, std::ceil(share_of(limit, share)));
}

}  // namespace

workspace_state::workspace_state(const scheduler_settings& settings)
    : length_settings_(settings.length),
      retry_settings_(settings.retry),
      rate_(0.0),
      retries_(settings.retry.max_saved_retries) {}

admission workspace_state::admit(const workspace_limits& limits, std::uint32_t retry_percent,
                                 limit_share share, time_point now) {
  const std::lock_guard lock(mutex_);
  if (!is_below(queued_, limits.queued, share)) {
    return admission::over_queue;
  }
  if (limits.requests_per_second > 0) {
    const double rate = share_of(limits.requests_per_second, share);
    rate_.fill(rate, std::max(1.0, rate * burst_seconds), now);
    if (!rate_.take()) {
      return admission::over_rate;
    }
  }
  retries_.add(retry_percent / percent, retry_settings_.max_saved_retries);
  ++queued_;
  return admission::granted;
}

void workspace_state::on_left_queue() {
  const std::lock_guard lock(mutex_);
  --queued_;
}

bool workspace_state::start(const workspace_limits& limits, limit_share share) {
  const std::lock_guard lock(mutex_);
  if (!is_below(running_, limits.concurrency, share)) {
    return false;
  }
  --queued_;
  ++running_;
  return true;
}

void workspace_state::on_stopped(bool queued_again) {
  const std::lock_guard lock(mutex_);
  --running_;
  queued_ += queued_again ? 1 : 0;
}

bool workspace_state::take_retry() {
  const std::lock_guard lock(mutex_);
  return retries_.take();
}

duration workspace_state::rate_wait(const workspace_limits& limits, limit_share share) const {
  const std::lock_guard lock(mutex_);
  const double rate = share_of(limits.requests_per_second, share);
  if (rate <= 0) {
    return {0};
  }
  const double missing = std::max(0.0, 1.0 - rate_.level());
  return {static_cast<std::int64_t>(std::ceil(missing / rate * ms_per_s))};
}

void workspace_state::on_answer(std::string_view class_name, std::uint32_t tokens) {
  const std::lock_guard lock(mutex_);
  auto found = lengths_.find(class_name);
  if (found == lengths_.end()) {
    found = lengths_.emplace(std::string(class_name), length_model(length_settings_)).first;
  }
  found->second.add(tokens);
}

double workspace_state::planned(std::string_view class_name, std::uint32_t sent,
                                std::uint32_t max_tokens) const {
  const std::lock_guard lock(mutex_);
  const auto found = lengths_.find(class_name);
  const double plan = found == lengths_.end() ? length_model(length_settings_).planned(sent)
                                              : found->second.planned(sent);
  return std::min(plan, static_cast<double>(std::max(max_tokens, sent + 1)));
}

}  // namespace hawthornnotch::policy
