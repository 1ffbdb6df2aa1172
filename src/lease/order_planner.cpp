#include "hawthornnotch/lease/order_planner.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace hawthornnotch::lease {

namespace {

bool contains(const std::vector<std::string>& values, const std::string& value) {
  return std::find(values.begin(), values.end(), value) != values.end();
}

const load_report* find_report(const std::string& id, const fleet_snapshot& fleet) {
  for (const auto& report : fleet.reports) {
    if (report.backend_server == id) {
      return &report;
    }
  }
  return nullptr;
}

std::uint64_t milli_requests_per_slot(const backend_server& server, const fleet_snapshot& fleet) {
  const auto* report = find_report(server.id, fleet);
  const std::uint64_t requests = report == nullptr ? 0 : report->running + report->waiting;
  return requests * 1000 / std::max<std::uint32_t>(server.slots, 1);
}

}  // namespace

order_planner::order_planner(planner_settings settings, const clock& time)
    : settings_(std::move(settings)), time_(time) {}

std::vector<engine_order> order_planner::plan(std::uint64_t fencing, const fleet_snapshot& fleet) {
  begin_term(fencing);
  refill();
  remove_finished_orders(fleet);
  missing_.clear();
  std::vector<engine_order> orders;
  const bool reports_known = time_.now() - term_started_at_ >= settings_.dead_after;
  for (const auto& [model, required] : settings_.replicas) {
    std::uint32_t available = count_live(model, fleet);
    if (available >= required) {
      continue;
    }
    missing_[model] = required - available;
    available += count_outstanding(model);
    while (reports_known && superseded_fencing_ < fencing && available < required && tokens_ > 0) {
      const backend_server* server = choose_server(model, fleet);
      if (server == nullptr) {
        break;
      }
      const engine_order order{server->id, server->incarnation,   server->address, model,
                               fencing,    server->checks_fencing};
      outstanding_[server->id] = {order, time_.now()};
      orders.push_back(order);
      --tokens_;
      ++available;
    }
  }
  return orders;
}

// The token bucket starts empty in each term, so that a change of holders can't exceed the rate.
void order_planner::begin_term(std::uint64_t fencing) {
  if (fencing == term_) {
    return;
  }
  term_ = fencing;
  term_started_at_ = time_.now();
  tokens_ = 0;
  refilled_at_ = time_.now();
}

void order_planner::refill() {
  const std::int64_t periods = (time_.now() - refilled_at_).ms / settings_.load_period.ms;
  if (periods > 0) {
    refilled_at_ = refilled_at_ + settings_.load_period * periods;
    const auto more =
        static_cast<std::uint32_t>(std::min<std::int64_t>(periods, settings_.load_burst));
    tokens_ = std::min(tokens_ + more, settings_.load_burst);
  }
}

void order_planner::remove_finished_orders(const fleet_snapshot& fleet) {
  std::erase_if(outstanding_, [&](const auto& entry) {
    const auto& [order, planned_at] = entry.second;
    const auto server = std::find_if(
        fleet.backend_servers.begin(), fleet.backend_servers.end(),
        [&order = order](const backend_server& known) { return known.id == order.backend_server; });
    const bool same_incarnation =
        server != fleet.backend_servers.end() && server->incarnation == order.incarnation;
    if (!same_incarnation || server->leaving || contains(server->serves, order.model)) {
      return true;
    }
    return time_.now() - planned_at > settings_.order_timeout;
  });
}

bool order_planner::is_live(const backend_server& server, const fleet_snapshot& fleet) const {
  if (server.kind != backend_kind::engine || server.leaving) {
    return false;
  }
  const auto* report = find_report(server.id, fleet);
  return report != nullptr && time_.now() - report->measured < settings_.dead_after;
}

std::uint32_t order_planner::count_live(const std::string& model,
                                        const fleet_snapshot& fleet) const {
  const auto live = std::count_if(fleet.backend_servers.begin(), fleet.backend_servers.end(),
                                  [&](const backend_server& server) {
                                    return contains(server.serves, model) && is_live(server, fleet);
                                  });
  return static_cast<std::uint32_t>(live);
}

std::uint32_t order_planner::count_outstanding(const std::string& model) const {
  const auto count =
      std::count_if(outstanding_.begin(), outstanding_.end(),
                    [&model](const auto& entry) { return entry.second.order.model == model; });
  return static_cast<std::uint32_t>(count);
}

// Picks the least loaded live engine that has room for a model and no outstanding order.  Ties go
// to the engine with the fewest models, then to the lowest id.
const backend_server* order_planner::choose_server(const std::string& model,
                                                   const fleet_snapshot& fleet) const {
  const backend_server* best = nullptr;
  const auto rank = [&fleet](const backend_server& server) {
    return std::tuple(milli_requests_per_slot(server, fleet), server.serves.size(), server.id);
  };
  for (const auto& server : fleet.backend_servers) {
    const bool fits = is_live(server, fleet) && !contains(server.serves, model) &&
                      server.serves.size() < settings_.models_per_engine &&
                      outstanding_.count(server.id) == 0;
    if (fits && (best == nullptr || rank(server) < rank(*best))) {
      best = &server;
    }
  }
  return best;
}

bool order_planner::still_needed(const engine_order& order, const engine_observation& observed) {
  if (observed.fencing > order.fencing) {
    complete(order, order_outcome::refused_old_number);
    return false;
  }
  if (contains(observed.models, order.model)) {
    complete(order, order_outcome::carried_out);
    return false;
  }
  const bool current = order.fencing == term_ && superseded_fencing_ < order.fencing;
  if (!current) {
    complete(order, order_outcome::not_sent);
  }
  return current;
}

void order_planner::complete(const engine_order& order, order_outcome outcome) {
  switch (outcome) {
    case order_outcome::carried_out:
      // Stays outstanding until the fleet shows it, so that a late report causes no second order.
      return;
    case order_outcome::refused_old_number:
      superseded_fencing_ = std::max(superseded_fencing_, order.fencing);
      outstanding_.erase(order.backend_server);
      return;
    case order_outcome::not_sent:
      outstanding_.erase(order.backend_server);
      return;
    case order_outcome::unknown:
      // Stays outstanding until its effect is visible or it times out.
      return;
  }
}

}  // namespace hawthornnotch::lease
