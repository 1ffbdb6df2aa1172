#include "hawthornnotch/autoscale/server_planner.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace hawthornnotch::autoscale {

namespace {

/// Longest time between two calls of `plan` while one VM holds the duties: several calls in turn
/// may each take the whole second that they are given.
constexpr duration holding_gap{10'000};
/// How long state must have been known, and servers must have been too many, before any is removed.
constexpr duration stable_time{10'000};
/// Time from the first observation in which nothing is removed: the demand of the other VMs and the
/// last burst are not known before.
constexpr duration start_time{15'000};
/// Time from the first observation in which nothing is ordered: gossip has not brought the demand
/// and the failure domains of the other VMs before.
constexpr duration warm_up_time{3'000};
/// Time between two removals, in which requests move and caches fill elsewhere.
constexpr duration removal_interval{2'000};
/// Servers removed at once, as a divisor of all.
constexpr std::uint32_t removal_divisor = 10;
/// Preemptible servers above the target that are kept, as a divisor of the target: the target moves
/// by a few servers with the noise of the demand.
constexpr std::uint32_t surplus_divisor = 8;
/// Missing servers for which no order is made, as a divisor of the target, unless they are needed
/// for the present demand.
constexpr std::uint32_t shortage_divisor = 20;
/// Part of the usual demand that on-demand servers bear by themselves: they stay when the platform
/// reclaims the preemptible ones of several failure domains.
constexpr double base_fraction = 0.25;
/// Orders of an earlier holder have taken effect this long after the boot time: the server list may
/// be that old.
constexpr duration settling_margin{2'000};
/// Until the demand has been observed for this long, bursts included, the capacity found at the
/// start is kept; other servers may take the place of those.
constexpr duration learning_time{60'000};
/// How long state must have been known before servers are replaced, which leaves the capacity.
constexpr duration replacement_delay{3'000};
/// Servers removed at once while none is busy, as a divisor of all: no cache is lost then.
constexpr std::uint32_t idle_removal_divisor = 4;

std::uint32_t count_of(const domain_state& domain, bool preemptible) {
  return preemptible ? domain.preemptible : domain.on_demand;
}

std::uint32_t count_of(const server_counts& counts, bool preemptible) {
  return preemptible ? counts.preemptible : counts.on_demand;
}

void keep_since(std::optional<time_point>& since, bool condition, time_point now) {
  if (!condition) {
    since.reset();
  } else if (!since) {
    since = now;
  }
}

bool has_lasted(const std::optional<time_point>& since, duration time, time_point now) {
  return since && now - *since >= time;
}

}  // namespace

void server_planner::observe(const scale_settings& settings, std::vector<domain_state> domains,
                             const service_demand& demand, time_point now) {
  settings_ = settings;
  domains_ = std::move(domains);
  if (now - planned_at_ > holding_gap || targets_.size() != domains_.size()) {
    targets_.clear();
  }
  orders_.set_boot_time(settings.boot_time);
  if (!started_at_) {
    started_at_ = now;
  }
  const bool known =
      !domains_.empty() && std::all_of(domains_.begin(), domains_.end(),
                                       [](const domain_state& each) { return each.reachable; });
  keep_since(known_since_, known, now);
  if (!domains_.empty()) {
    if (!has_lasted(started_at_, warm_up_time, now)) {
      initial_capacity_ = std::max(initial_capacity_, capacity_after_loss(serving(now)));
    }
    model_.observe(demand, total_serving(), settings.boot_time, now);
  }
}

bool server_planner::is_learning(time_point now) const {
  return !has_lasted(started_at_, learning_time, now);
}

required_capacity server_planner::required_at(time_point now) const {
  required_capacity required = model_.required();
  if (is_learning(now)) {
    required.target = std::max(required.target, initial_capacity_);
  }
  return required;
}

std::vector<planned_order> server_planner::plan(time_point now) {
  std::vector<planned_order> out;
  update_holding(now);
  targets_.clear();
  const bool bounded = settings_.max > 0 && settings_.min <= settings_.max;
  if (domains_.empty() || !bounded) {
    surplus_since_.reset();
    return out;
  }
  update_targets(now);
  add_servers(now, out);
  if (may_remove(now)) {
    remove_servers(now, out);
  }
  return out;
}

void server_planner::on_outcome(const duties::server_order& order, duties::call_outcome outcome,
                                time_point now) {
  orders_.record_outcome({order.failure_domain, order.preemptible}, order.desired, outcome, now);
}

void server_planner::update_holding(time_point now) {
  if (!holding_since_ || now - planned_at_ > holding_gap) {
    holding_since_ = now;
    surplus_since_.reset();
    // Other holders have made orders since.
    orders_ = order_book();
    orders_.set_boot_time(settings_.boot_time);
  }
  planned_at_ = now;
}

// A failure domain that is cut off keeps what it has, and the others serve the demand that is known
// here.
void server_planner::update_targets(time_point now) {
  std::vector<domain_offer> offers;
  for (std::size_t index = 0; index < domains_.size(); ++index) {
    if (domains_[index].reachable) {
      domain_offer& offer = offers.emplace_back();
      offer.price = domains_[index].price;
      offer.on_demand_available = !orders_.unavailable(pool_of(index, false), now);
      offer.preemptible_available = !orders_.unavailable(pool_of(index, true), now);
      offer.present = {expected(index, false, now), expected(index, true, now)};
    }
  }
  const required_capacity required = required_at(now);
  // Each failure domain can go on when the preemptible servers of all are reclaimed.
  const auto least_base = settings_.min * static_cast<std::uint32_t>(offers.size());
  const auto usual_base = static_cast<std::uint32_t>(std::ceil(required.usual * base_fraction));
  const capacity_goal goal{std::max(usual_base, least_base), required.least, required.quality,
                           required.target};
  const auto allocated = allocate(settings_, offers, goal);
  targets_.resize(domains_.size());
  auto next = allocated.begin();
  for (std::size_t index = 0; index < domains_.size(); ++index) {
    const domain_state& domain = domains_[index];
    targets_[index] =
        domain.reachable ? *next++ : server_counts{domain.on_demand, domain.preemptible};
  }
}

void server_planner::add_servers(time_point now, std::vector<planned_order>& out) {
  const bool urgent = total_expected(now) < model_.required().quality;
  if (!has_lasted(started_at_, warm_up_time, now)) {
    return;
  }
  if (!urgent && !has_lasted(holding_since_, settings_.boot_time + settling_margin, now)) {
    return;
  }
  for (std::size_t index = 0; index < domains_.size(); ++index) {
    add_to(index, true, urgent, now, out);
  }
  std::uint32_t wanted = 0;
  std::uint32_t on_demand = 0;
  for (std::size_t index = 0; index < domains_.size(); ++index) {
    wanted += targets_[index].on_demand;
    on_demand += expected(index, false, now);
  }
  // On-demand servers serve as well in a more expensive domain until they are surplus there.
  for (std::size_t index = 0; index < domains_.size() && on_demand < wanted; ++index) {
    add_to(index, false, urgent, now, out);
  }
}

void server_planner::add_to(std::size_t index, bool preemptible, bool urgent, time_point now,
                            std::vector<planned_order>& out) {
  const std::uint32_t has = expected(index, preemptible, now);
  const std::uint32_t others = expected(index, !preemptible, now);
  const std::uint32_t room = settings_.max - std::min(others, settings_.max);
  const std::uint32_t wanted = std::min(count_of(targets_[index], preemptible), room);
  const std::uint32_t missing = wanted - std::min(has, wanted);
  const bool below_min = has + others < settings_.min;
  if (missing > 0 && (urgent || below_min || missing > wanted / shortage_divisor)) {
    order(index, preemptible, wanted, urgent ? "demand" : "target", now, out);
  }
}

bool server_planner::may_remove(time_point now) {
  const required_capacity required = required_at(now);
  const std::uint32_t needed = std::max(required.target, required.quality);
  bool surplus = false;
  for (std::size_t index = 0; index < domains_.size(); ++index) {
    surplus = surplus || domains_[index].on_demand > targets_[index].on_demand ||
              domains_[index].preemptible > targets_[index].preemptible;
  }
  keep_since(surplus_since_, surplus && total_serving() > needed, now);
  const bool learning = is_learning(now);
  if (now - removed_at_ < removal_interval || !surplus_since_) {
    return false;
  }
  // What is replaced was needed until now, so there is no surplus that has to last.
  return learning ? has_lasted(known_since_, replacement_delay, now)
                  : has_lasted(surplus_since_, stable_time, now) &&
                        has_lasted(known_since_, stable_time, now) &&
                        has_lasted(started_at_, start_time, now);
}

void server_planner::remove_servers(time_point now, std::vector<planned_order>& out) {
  const std::size_t before = out.size();
  const bool idle = model_.required().peak <= 0;
  const std::uint32_t divisor = idle ? idle_removal_divisor : removal_divisor;
  std::uint32_t budget = std::max(1U, total_serving() / divisor);
  for (const bool preemptible : {false, true}) {
    for (const std::size_t index : most_expensive_first()) {
      remove_from(index, preemptible, budget, now, out);
    }
  }
  if (out.size() > before) {
    removed_at_ = now;
  }
}

void server_planner::remove_from(std::size_t index, bool preemptible, std::uint32_t& budget,
                                 time_point now, std::vector<planned_order>& out) {
  const server_pool pool = pool_of(index, preemptible);
  const std::uint32_t present = count_of(domains_[index], preemptible);
  const std::uint32_t has = std::min(present, expected(index, preemptible, now));
  const std::uint32_t wanted = count_of(targets_[index], preemptible);
  const std::uint32_t kept_surplus = preemptible ? 1 + wanted / surplus_divisor : 0;
  // No removal crosses an order for more that may still take effect.
  const bool growing = expected(index, preemptible, now) > present;
  if (has <= wanted + kept_surplus || growing || !orders_.may_order(pool, now)) {
    return;
  }
  const std::vector<server_counts> counts = serving(now);
  std::uint32_t removed = std::min(has - wanted, budget);
  const required_capacity required = required_at(now);
  const auto after_removal = [&] {
    std::vector<server_counts> left = counts;
    (preemptible ? left[index].preemptible : left[index].on_demand) -= removed;
    return left;
  };
  const auto suffices = [&](const std::vector<server_counts>& left) {
    return capacity_after_loss(left) >= required.target && total_of(left) >= required.quality &&
           left[index].total() >= settings_.min;
  };
  while (removed > 0 && !suffices(after_removal())) {
    --removed;
  }
  if (removed > 0) {
    budget -= removed;
    order(index, preemptible, has - removed, "surplus", now, out);
  }
}

void server_planner::order(std::size_t index, bool preemptible, std::uint32_t desired,
                           std::string_view reason, time_point now,
                           std::vector<planned_order>& out) {
  const server_pool pool = pool_of(index, preemptible);
  if (!domains_[index].reachable || !orders_.may_order(pool, now)) {
    return;
  }
  planned_order planned;
  planned.order = {service_, pool.failure_domain, desired, preemptible};
  planned.present = count_of(domains_[index], preemptible);
  planned.expected = expected(index, preemptible, now);
  planned.required = required_at(now);
  planned.after_loss = capacity_after_loss(serving(now));
  planned.reason = reason;
  out.push_back(std::move(planned));
  orders_.record_order(pool, desired, now);
}

server_pool server_planner::pool_of(std::size_t index, bool preemptible) const {
  return {domains_[index].failure_domain, preemptible};
}

std::uint32_t server_planner::expected(std::size_t index, bool preemptible, time_point now) const {
  return orders_.expected(pool_of(index, preemptible), count_of(domains_[index], preemptible), now);
}

std::vector<server_counts> server_planner::serving(time_point now) const {
  std::vector<server_counts> counts(domains_.size());
  for (std::size_t index = 0; index < domains_.size(); ++index) {
    const domain_state& domain = domains_[index];
    if (domain.reachable) {
      counts[index] = {std::min(domain.on_demand, expected(index, false, now)),
                       std::min(domain.preemptible, expected(index, true, now))};
    }
  }
  return counts;
}

std::uint32_t server_planner::total_expected(time_point now) const {
  std::uint32_t total = 0;
  for (std::size_t index = 0; index < domains_.size(); ++index) {
    if (domains_[index].reachable) {
      total += expected(index, false, now) + expected(index, true, now);
    }
  }
  return total;
}

std::uint32_t server_planner::total_serving() const {
  std::uint32_t total = 0;
  for (const domain_state& each : domains_) {
    total += each.reachable ? each.on_demand + each.preemptible : 0;
  }
  return total;
}

std::vector<std::size_t> server_planner::most_expensive_first() const {
  std::vector<std::size_t> order(domains_.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::stable_sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
    return domains_[a].price > domains_[b].price;
  });
  return order;
}

}  // namespace hawthornnotch::autoscale
