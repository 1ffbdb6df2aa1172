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
  drop_before(out.requests, now - settings_.window);
  drop_before(out.retries, now - settings_.window);
  return out;
}

void retry_budget::on_request(std::string_view service, time_point now) {
  current_counts(service, now).requests.push_back(now);
}

retry_decision retry_budget::take(std::string_view service, std::size_t entry_vms,
                                  time_point now) {
  counts& counted = current_counts(service, now);
  const double own_slack =
      settings_.slack / static_cast<double>(std::max<std::size_t>(entry_vms, 1));
  const double earned = settings_.ratio * static_cast<double>(counted.requests.size());
  retry_decision decision;
  decision.allowance = settings_.safety_factor * (earned + own_slack);
  decision.requests = counted.requests.size();
  decision.entry_vms = entry_vms;
  decision.account_age = now - started_at_;
  decision.allowed = static_cast<double>(counted.retries.size() + 1) <= decision.allowance;
  if (decision.allowed) {
    counted.retries.push_back(now);
  }
  decision.retries = counted.retries.size();
  return decision;
}

}  // namespace hawthornnotch::dispatch
