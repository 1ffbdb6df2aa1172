#include "hawthornnotch/autoscale/service_scaler.h"

#include <algorithm>
#include <utility>

namespace hawthornnotch::autoscale {

namespace {

/// Servers are ordered only by a list younger than this.
constexpr duration max_list_age{3'000};
/// Decisions kept for the log if nobody takes them.
constexpr std::size_t max_decisions = 256;

scale_settings settings_of(const routes::autoscale_settings& configured) {
  return {configured.min, configured.max, configured.boot_time, configured.preemptible_price};
}

service_demand demand_of(const routes::service_definition& service, const fleet_view& view) {
  service_demand demand;
  demand.slots = service.engine ? service.engine->slots : 1.0;
  demand.prefill_tokens_per_ms = service.engine ? view.prefill_tokens_per_ms : 0.0;
  double slots = 0;
  double servers = 0;
  for (const servers::server_entry& each : view.list.newest()->entries) {
    if (each.service != service.name) {
      continue;
    }
    slots += each.slots;
    ++servers;
    if (const auto work = view.work.find(each.id); work != view.work.end()) {
      demand.running += work->second.running;
      demand.prefill_tokens += static_cast<double>(work->second.prefill_tokens);
    }
  }
  if (servers > 0) {
    demand.slots = slots / servers;
  }
  add_published(view.demand, service.name, view.live_vms, demand);
  return demand;
}

}  // namespace

void service_scaler::observe(const fleet_view& view, time_point now) {
  std::set<std::string, std::less<>> scaled;
  const auto age = view.list.age(now);
  const bool list_is_fresh = age && *age < max_list_age;
  for (const routes::service_definition& service : view.config.services) {
    if (!service.autoscale) {
      continue;
    }
    scaled.insert(service.name);
    auto& [name, state] = *services_.try_emplace(service.name, service.name).first;
    std::vector<domain_state> domains;
    service_demand demand;
    if (list_is_fresh) {
      domains = domains_of(service, view, state);
      demand = demand_of(service, view);
    }
    state.planner.observe(settings_of(*service.autoscale), std::move(domains), demand, now);
    state.observed = true;
  }
  std::erase_if(services_, [&](const auto& each) { return !scaled.contains(each.first); });
}

std::vector<domain_state> service_scaler::domains_of(const routes::service_definition& service,
                                                     const fleet_view& view, scaled_service& into) {
  for (const auto& [name, price] : service.autoscale->domain_prices) {
    into.domains.insert(name);
  }
  for (const servers::server_entry& each : view.list.newest()->entries) {
    if (each.service == service.name) {
      into.domains.insert(each.failure_domain);
    }
  }
  std::map<std::string, domain_state, std::less<>> states;
  for (const std::string& name : into.domains) {
    domain_state& state = states[name];
    state.failure_domain = name;
    state.reachable = view.reachable(name);
    const auto price = service.autoscale->domain_prices.find(name);
    state.price = price == service.autoscale->domain_prices.end() ? 1.0 : price->second;
  }
  for (const servers::server_entry& each : view.list.newest()->entries) {
    if (each.service != service.name) {
      continue;
    }
    const servers::server_entry* known = view.list.find(each.id);
    domain_state& state = states[each.failure_domain];
    const bool leaving = each.leaving || (known != nullptr && known->leaving);
    ++(leaving ? state.leaving : each.preemptible ? state.preemptible : state.on_demand);
  }
  std::vector<domain_state> out;
  out.reserve(states.size());
  for (auto& [name, state] : states) {
    out.push_back(std::move(state));
  }
  return out;
}

std::vector<duties::server_order> service_scaler::orders(time_point now) {
  std::vector<duties::server_order> out;
  for (auto& [name, state] : services_) {
    if (!state.observed) {
      continue;
    }
    state.observed = false;
    for (planned_order& each : state.planner.plan(now)) {
      out.push_back(each.order);
      if (decisions_.size() < max_decisions) {
        decisions_.push_back(std::move(each));
      }
    }
  }
  return out;
}

void service_scaler::on_outcome(const duties::server_order& order, duties::call_outcome outcome,
                                time_point now) {
  if (const auto found = services_.find(order.service); found != services_.end()) {
    found->second.planner.on_outcome(order, outcome, now);
  }
}

std::vector<planned_order> service_scaler::take_decisions() {
  return std::exchange(decisions_, {});
}

std::vector<pool_summary> service_scaler::summary() const {
  std::vector<pool_summary> out;
  for (const auto& [name, state] : services_) {
    const auto targets = state.planner.targets();
    std::size_t index = 0;
    for (const domain_state& domain : state.planner.domains()) {
      pool_summary on_demand{name, domain.failure_domain, false, domain.on_demand, {}};
      pool_summary preemptible{name, domain.failure_domain, true, domain.preemptible, {}};
      if (index < targets.size()) {
        on_demand.wanted = targets[index].on_demand;
        preemptible.wanted = targets[index].preemptible;
      }
      ++index;
      out.push_back(std::move(on_demand));
      out.push_back(std::move(preemptible));
    }
  }
  return out;
}

}  // namespace hawthornnotch::autoscale
