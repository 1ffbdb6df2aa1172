// The part of the dispatcher that uses the load that servers report.
#include <cmath>

#include "hawthornnotch/dispatch/dispatcher.h"

namespace hawthornnotch::dispatch {

namespace {

constexpr double usual_slowness = 1.0;
/// Differences from the usual slowness below a tenth are not worth a record.  A little less, since
/// 1.0 - 0.9 is below 0.1 in floating point.
constexpr double unusual_difference = 0.0999;

}  // namespace

service_load& dispatcher::load_of(std::string_view service) {
  auto found = loads_.find(service);
  if (found == loads_.end()) {
    found = loads_.try_emplace(std::string(service)).first;
  }
  return found->second;
}

void dispatcher::record_report(const attempt& tracked, std::string_view service,
                               const reported_load& load, time_point now) {
  if (!load.slowness || state_of(tracked) == nullptr) {
    return;
  }
  server_state& state = *state_of(tracked);
  load_of(service).shared.record_slowness(now);
  state.speed.record_own(*load.slowness, now);
  state.report.record(load.running, load.waiting, {state.running, state.unstarted}, now);
}

std::vector<server_speed> dispatcher::speeds_to_share(time_point now) {
  std::vector<server_speed> out;
  for (auto& [id, state] : states_) {
    const auto last = state.speed.to_share(now);
    if (!last) {
      continue;
    }
    const bool unusual = std::abs(last->slowness - usual_slowness) >= unusual_difference;
    if (unusual || state.shared_as_unusual) {
      out.push_back({id, last->slowness, now - last->at});
    }
    state.shared_as_unusual = unusual;
  }
  return out;
}

void dispatcher::apply_peer_speeds(std::span<const server_speed> speeds, time_point now) {
  for (const server_speed& each : speeds) {
    const servers::server_entry* server = list_.find(each.server);
    if (server == nullptr || each.age >= reported_speed::shared_lifetime) {
      continue;
    }
    load_of(server->service).shared.record_slowness(now - each.age);
    state_of(*server).speed.record_peer(each.slowness, now - each.age);
  }
}

report_inputs dispatcher::inputs_of(const servers::server_entry& server, time_point now) const {
  report_inputs out;
  const auto load = loads_.find(server.service);
  const auto state = states_.find(server.id);
  if (state == states_.end()) {
    return out;
  }
  out.shared = load != loads_.end() && load->second.shared.is_shared(now);
  out.speed = state->second.speed.newest(now);
  if (state->second.report.is_fresh(now)) {
    out.work = state->second.report;
  }
  return out;
}

}  // namespace hawthornnotch::dispatch
