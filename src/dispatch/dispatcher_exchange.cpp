// The part of the dispatcher that tells other entry VMs what was seen here, and takes in theirs.
#include "hawthornnotch/dispatch/dispatcher.h"

namespace hawthornnotch::dispatch {

void dispatcher::apply_peer_work(
    const std::map<std::string, relay::server_work, std::less<>>& work) {
  for (auto& [id, state] : states_) {
    const auto found = work.find(id);
    state.peer_running = found == work.end() ? 0 : found->second.running;
    state.peer_prefill_tokens = found == work.end() ? 0 : found->second.prefill_tokens;
    state.peer_sensitive = found == work.end() ? 0 : found->second.sensitive;
  }
}

void dispatcher::apply_peer_paces(std::span<const relay::server_pace> paces, time_point now) {
  for (const relay::server_pace& pace : paces) {
    const servers::server_entry* server = list_.find(pace.server);
    if (server == nullptr || server->start_time_ms != pace.start_time_ms) {
      continue;
    }
    state_of(*server).pace.heard(pace.usual_gap_ms, pace.long_gap_ms, now);
  }
}

std::vector<relay::server_pace> dispatcher::local_paces(std::size_t most, time_point now) {
  std::vector<relay::server_pace> out;
  auto each = states_.upper_bound(last_pace_);
  for (std::size_t seen = 0; seen < states_.size() && out.size() < most; ++seen) {
    if (each == states_.end()) {
      each = states_.begin();
    }
    const server_state& state = each->second;
    if (state.pace.fresh(now)) {
      out.push_back(
          {each->first, state.start_time_ms, state.pace.usual_ms(now), state.pace.long_ms(now)});
    }
    last_pace_ = each->first;
    ++each;
  }
  return out;
}

void dispatcher::apply_absences(std::span<const relay::server_absence> absences, time_point now) {
  for (const relay::server_absence& absence : absences) {
    const servers::server_entry* server = list_.find(absence.server);
    if (server != nullptr) {
      state_of(*server).health.leave_for(absence.remaining, now);
    }
  }
}

std::vector<relay::server_absence> dispatcher::absences(time_point now) const {
  std::vector<relay::server_absence> out;
  for (const auto& [id, state] : states_) {
    const duration remaining = state.health.gone_for(now);
    if (remaining > duration{0}) {
      out.push_back({id, remaining});
    }
  }
  return out;
}

std::vector<relay::server_work> dispatcher::local_work() const {
  std::vector<relay::server_work> out;
  for (const auto& [id, state] : states_) {
    if (state.running > 0) {
      out.push_back({id, state.running, state.prefill_tokens, state.sensitive});
    }
  }
  return out;
}

}  // namespace hawthornnotch::dispatch
