#include "hawthornnotch/routes/route_table.h"

#include <algorithm>

namespace hawthornnotch::routes {

namespace {

bool begins_with(std::string_view path, std::string_view prefix) {
  return path.substr(0, prefix.size()) == prefix;
}

bool longer_prefix(const route* a, const route* b) { return a->prefix.size() > b->prefix.size(); }

}  // namespace

std::shared_ptr<const route_table> route_table::create(routing_config config) {
  return std::shared_ptr<const route_table>(new route_table(std::move(config)));
}

route_table::route_table(routing_config config) : config_(std::move(config)) {
  for (const route& each : config_.routes) {
    by_host_[each.host].push_back(&each);
  }
  for (auto& [host, found] : by_host_) {
    std::stable_sort(found.begin(), found.end(), longer_prefix);
  }
  for (const workspace_access& workspace : config_.workspaces) {
    for (const std::string& key : workspace.api_keys) {
      by_key_.emplace(key, &workspace);
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

bool config_holder::offer(std::shared_ptr<const route_table> newer) {
  if (!newer || newer->version() <= version()) {
    return false;
  }
  current_ = std::move(newer);
  return true;
}

}  // namespace hawthornnotch::routes
