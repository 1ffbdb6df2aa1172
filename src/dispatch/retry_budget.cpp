#include "hawthornnotch/dispatch/retry_budget.h"

#include <algorithm>

namespace hawthornnotch::dispatch {

namespace {

void drop_before(std::deque<time_point>& times, time_point limit) {
  while (!times.empty() && times.front() <= limit) {
    times.pop_front();
  }
}

}  // namespace

retry_budget::counts& retry_budget::current_counts(std::string_view service, time_point now) {
  const auto found = services_.find(service);
  counts& out = found != services_.end() ? found->second : services_[std::string(service)];
  drop_before(out.requests, now - settings_.window * 2);
  drop_before(out.retries, now - settings_.window);
  return out;
}

void retry_budget::on_request(std::string_view service, time_point now) {
  current_counts(service, now).requests.push_back(now);
}

bool retry_budget::is_settled(const budget_share& share, time_point now) const {
  const bool grown_up = now - started_at_ >= settings_.window;
  const bool disrupted = share.disrupted_at && now - *share.disrupted_at < settings_.window;
  return grown_up && !disrupted;
}

retry_decision retry_budget::take(std::string_view service, const budget_share& share,
                                  time_point now) {
  counts& counted = current_counts(service, now);
  const auto window_begin =
      std::upper_bound(counted.requests.begin(), counted.requests.end(), now - settings_.window);
  const auto earlier = static_cast<std::size_t>(window_begin - counted.requests.begin());
  retry_decision decision;
  decision.account_age = now - started_at_;
  decision.entry_vms = share.entry_vms;
  decision.requests = counted.requests.size() - earlier;
  decision.proven_requests =
      is_settled(share, now) ? decision.requests : std::min(decision.requests, earlier);
  const auto proven = static_cast<double>(decision.proven_requests);
  const auto unproven = static_cast<double>(decision.requests - decision.proven_requests);
  const double safety = settings_.safety_factor;
  const double earned = settings_.ratio * (safety * proven + (1.0 - safety) * unproven);
  const bool has_slack = decision.account_age >= settings_.window && share.entry_vms > 0;
  const double own_slack =
      has_slack ? safety * settings_.slack / static_cast<double>(share.entry_vms) : 0;
  decision.allowance = earned + own_slack;
  decision.allowed = static_cast<double>(counted.retries.size() + 1) <= decision.allowance;
  if (decision.allowed) {
    counted.retries.push_back(now);
  }
  decision.retries = counted.retries.size();
  return decision;
}

}  // namespace hawthornnotch::dispatch
