#include "hawthornnotch/routes/route_table.h"

#include <algorithm>
#include <iterator>

namespace hawthornnotch::routes {

namespace {

/// How many times longer the longest pause that callers bear must be than the shortest.
constexpr std::int64_t least_ratio = 2;
/// Time of an engine's step in which it also reads a piece of a prompt; one step makes one token.
constexpr duration step_beside_prompt{60};

bool begins_with(std::string_view path, std::string_view prefix) {
  return path.substr(0, prefix.size()) == prefix;
}

// \returns how many of the priorities are more urgent.
std::size_t level(const std::set<std::uint32_t>& priorities, std::uint32_t priority) {
  return static_cast<std::size_t>(
      std::distance(priorities.begin(), priorities.lower_bound(priority)));
}

bool longer_prefix(const route* a, const route* b) { return a->prefix.size() > b->prefix.size(); }

}  // namespace

std::shared_ptr<const route_table> route_table::create(routing_config config) {
  return std::shared_ptr<const route_table>(new route_table(std::move(config)));
}

route_table::route_table(routing_config config) : config_(std::move(config)) {
  for (const route& each : config_.routes) {
    by_host_[each.host].push_back(&each);
    route_priorities_.insert(each.priority);
    if (each.kind == repeatability::event_stream && each.target_gap > duration{0}) {
      for (const weighted_service& part : each.services) {
        target_gaps_ms_[part.service].insert(each.target_gap.ms);
      }
    }
  }
  for (auto& [host, found] : by_host_) {
    std::stable_sort(found.begin(), found.end(), longer_prefix);
  }
  for (const workspace_access& workspace : config_.workspaces) {
    for (const std::string& key : workspace.api_keys) {
      by_key_.emplace(key, &workspace);
    }
    if (workspace.priority) {
      workspace_priorities_.insert(*workspace.priority);
    }
  }
  for (const service_definition& service : config_.services) {
    by_service_.emplace(service.name, &service);
  }
}

route_match route_table::find(const route_query& query) const {
  const auto host = by_host_.find(std::string(query.host));
  if (host == by_host_.end()) {
    return no_such_route{};
  }
  const auto& candidates = host->second;
  const auto found = std::find_if(
      candidates.begin(), candidates.end(),
      [&](const route* candidate) { return begins_with(query.path, candidate->prefix); });
  if (found == candidates.end()) {
    return no_such_route{};
  }
  const route& chosen = **found;
  if (chosen.anonymous || !config_.api_keys_required) {
    return matched{&chosen, nullptr};
  }
  const auto holder = by_key_.find(query.api_key);
  if (holder == by_key_.end()) {
    return unknown_api_key{};
  }
  return matched{&chosen, holder->second};
}

const std::string& route_table::pick_service(const route& from, double draw) {
  std::uint64_t total = 0;
  for (const weighted_service& each : from.services) {
    total += each.weight;
  }
  double left = draw * static_cast<double>(total);
  for (const weighted_service& each : from.services) {
    left -= each.weight;
    if (left < 0) {
      return each.service;
    }
  }
  return from.services.back().service;
}

const service_definition* route_table::service(std::string_view name) const {
  const auto found = by_service_.find(name);
  return found == by_service_.end() ? nullptr : found->second;
}

std::uint32_t route_table::urgency(const route& of, const workspace_access* workspace) const {
  const bool has_priority = workspace != nullptr && workspace->priority;
  const std::size_t outer = has_priority ? level(workspace_priorities_, *workspace->priority) : 0;
  const std::size_t inner = level(route_priorities_, of.priority);
  return static_cast<std::uint32_t>(outer * route_priorities_.size() + inner);
}

bool route_table::is_gap_sensitive(const route& which) const {
  const std::string& name = which.services.front().service;
  const service_definition* served_by = service(name);
  const auto gaps = target_gaps_ms_.find(name);
  if (served_by == nullptr || !served_by->engine || gaps == target_gaps_ms_.end()) {
    return false;
  }
  const bool shortest = which.target_gap.ms == *gaps->second.begin();
  const bool others_wait = *gaps->second.rbegin() >= least_ratio * which.target_gap.ms;
  const std::int64_t tokens = std::max(1U, served_by->engine->tokens_per_event);
  return shortest && others_wait && which.target_gap < step_beside_prompt * tokens;
}

bool config_holder::offer(std::shared_ptr<const route_table> newer) {
  if (!newer || newer->version() <= version()) {
    return false;
  }
  current_ = std::move(newer);
  return true;
}

}  // namespace hawthornnotch::routes
