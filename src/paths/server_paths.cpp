#include "hawthornnotch/paths/server_paths.h"

#include <algorithm>

namespace hawthornnotch::paths {

namespace {

/// Broken paths from which a service counts as cut off if none has worked since the first of them.
constexpr std::size_t cut_off_paths = 4;
/// Checks of one service at a time.
constexpr std::size_t checks_at_once = 4;
/// Time between two checks of one server.
constexpr duration check_period{500};
/// How long after a path broke others of the service are checked too, and how many of them: where
/// these are broken as well, they lead to further checks.
constexpr duration suspicion_time{1'000};
constexpr std::size_t checks_per_breakage = 3;

}  // namespace

server_paths::path& server_paths::path_of(service_paths& service, const server_key& server) {
  auto found = service.by_server.find(server.server);
  if (found == service.by_server.end()) {
    found = service.by_server.try_emplace(std::string(server.server)).first;
  }
  path& known = found->second;
  if (known.start_time_ms != server.start_time_ms) {
    known = path{};
    known.start_time_ms = server.start_time_ms;
  }
  return known;
}

path_change server_paths::record_failure(const server_key& server, time_point now) {
  auto found = services_.find(server.service);
  if (found == services_.end()) {
    found = services_.try_emplace(std::string(server.service)).first;
  }
  service_paths& service = found->second;
  path& known = path_of(service, server);
  if (known.broken_since) {
    return path_change::none;
  }
  known.broken_since = now;
  service.last_breakage = now;
  service.suspicion_checks += checks_per_breakage;
  return path_change::broken;
}

path_change server_paths::record_success(const server_key& server, time_point now) {
  const auto found = services_.find(server.service);
  if (found == services_.end()) {
    return path_change::none;
  }
  found->second.last_success = now;
  path& known = path_of(found->second, server);
  known.checked_at = now;
  if (!known.broken_since) {
    return path_change::none;
  }
  known.broken_since.reset();
  return path_change::mended;
}

std::size_t server_paths::broken_without_success(const service_paths& service) {
  return static_cast<std::size_t>(
      std::count_if(service.by_server.begin(), service.by_server.end(), [&](const auto& each) {
        const auto& since = each.second.broken_since;
        return since && (!service.last_success || *since >= *service.last_success);
      }));
}

bool server_paths::is_cut_off(std::string_view service) const {
  const auto found = services_.find(service);
  if (found == services_.end()) {
    return false;
  }
  const std::size_t listed = found->second.listed_count;
  const std::size_t needed = listed == 0 ? cut_off_paths : std::min(cut_off_paths, listed);
  return broken_without_success(found->second) >= needed;
}

bool server_paths::is_usable(const server_key& server) const {
  const auto service = services_.find(server.service);
  if (service == services_.end()) {
    return true;
  }
  const auto found = service->second.by_server.find(server.server);
  const bool broken = found != service->second.by_server.end() &&
                      found->second.start_time_ms == server.start_time_ms &&
                      found->second.broken_since;
  return !broken && !is_cut_off(server.service);
}

std::vector<std::string> server_paths::tracked_services() const {
  std::vector<std::string> names;
  names.reserve(services_.size());
  for (const auto& [name, service] : services_) {
    names.push_back(name);
  }
  return names;
}

bool server_paths::is_suspected(const service_paths& service, time_point now) {
  const bool lately = service.last_breakage && now - *service.last_breakage < suspicion_time;
  return lately && service.suspicion_checks > 0;
}

bool server_paths::is_due(const service_paths& service, const path* known, time_point now) {
  const bool checked = known != nullptr && known->checked_at;
  if (checked && now - *known->checked_at < check_period) {
    return false;
  }
  const bool broken = known != nullptr && known->broken_since;
  const bool proven = checked && *known->checked_at >= service.last_breakage;
  return broken || (is_suspected(service, now) && !proven);
}

std::vector<std::string> server_paths::take_due_checks(std::string_view service,
                                                       std::span<const server_key> listed,
                                                       time_point now) {
  const auto found = services_.find(service);
  if (found == services_.end()) {
    return {};
  }
  service_paths& paths = found->second;
  paths.listed_count = listed.size();
  drop_unlisted(paths, listed);
  const auto next = std::find_if(listed.begin(), listed.end(), [&](const server_key& each) {
    return each.server > paths.last_checked;
  });
  const auto first = static_cast<std::size_t>(next - listed.begin());
  std::vector<std::string> due;
  for (std::size_t step = 0; step < listed.size() && due.size() < checks_at_once; ++step) {
    const server_key& server = listed[(first + step) % listed.size()];
    const auto known = paths.by_server.find(server.server);
    if (!is_due(paths, known == paths.by_server.end() ? nullptr : &known->second, now)) {
      continue;
    }
    path& checked = path_of(paths, server);
    paths.suspicion_checks -= checked.broken_since ? 0 : 1;
    checked.checked_at = now;
    paths.last_checked = server.server;
    due.emplace_back(server.server);
  }
  if (!has_broken(paths) && !is_suspected(paths, now)) {
    services_.erase(found);
  }
  return due;
}

void server_paths::drop_unlisted(service_paths& service, std::span<const server_key> listed) {
  std::erase_if(service.by_server, [&](const auto& each) {
    return std::none_of(listed.begin(), listed.end(), [&](const server_key& server) {
      return server.server == each.first && server.start_time_ms == each.second.start_time_ms;
    });
  });
}

bool server_paths::has_broken(const service_paths& service) {
  return std::any_of(service.by_server.begin(), service.by_server.end(),
                     [](const auto& each) { return each.second.broken_since.has_value(); });
}

std::size_t server_paths::broken_count() const {
  std::size_t count = 0;
  for (const auto& [name, service] : services_) {
    count += static_cast<std::size_t>(
        std::count_if(service.by_server.begin(), service.by_server.end(),
                      [](const auto& each) { return each.second.broken_since.has_value(); }));
  }
  return count;
}

}  // namespace hawthornnotch::paths
