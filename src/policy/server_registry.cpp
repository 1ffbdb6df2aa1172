#include "hawthornnotch/policy/server_registry.h"

#include <algorithm>

#include "hawthornnotch/base/hash.h"

namespace hawthornnotch::policy {

namespace {

// How long an unlisted server is kept, so that one that is leaving stays so if it is listed again.
constexpr duration absent_retention{3'600'000};

std::vector<std::string> router_ids(const fleet_snapshot& fleet, std::string_view own_vm) {
  std::vector<std::string> ids;
  for (const entry_vm& vm : fleet.entry_vms) {
    if (!vm.leaving || vm.id == own_vm) {
      ids.push_back(vm.id);
    }
  }
  std::sort(ids.begin(), ids.end());
  return ids;
}

}  // namespace

bool server_registry::apply(const fleet_snapshot& fleet, std::string_view own_vm,
                            const std::array<std::uint32_t, tier_count>& own_waiting,
                            time_point now) {
  std::vector<std::string> routers = router_ids(fleet, own_vm);
  const bool changed =
      routers != routers_ || fleet.backend_servers != last_servers_ || own_vm_ != own_vm;
  own_vm_ = own_vm;
  routers_ = std::move(routers);
  if (changed) {
    update_servers(fleet.backend_servers, now);
  }
  for (const load_report& report : fleet.reports) {
    const auto found = servers_.find(report.backend_server);
    if (found != servers_.end()) {
      found->second.state->on_report(report);
    }
  }
  count_peers(fleet);
  update_slot_shift(fleet, own_waiting, now);
  expire_absent(now);
  return changed;
}

void server_registry::update_servers(const std::vector<backend_server>& listed, time_point now) {
  last_servers_ = listed;
  by_service_.clear();
  const prior_table priors = learn_priors();
  for (const backend_server& facts : listed) {
    known_server& known = servers_[facts.id];
    known.last_listed = now;
    if (!known.state || known.state->facts().incarnation != facts.incarnation) {
      const auto prior = priors.find(kind_of(facts));
      const server_speed speed = prior == priors.end() ? server_speed{} : prior->second;
      known.state = std::make_shared<server_state>(facts, settings_, speed);
    }
    if (facts.leaving) {
      known.state->set_leaving();
    }
    if (known.state->leaving()) {
      continue;
    }
    for (const std::string& serves : facts.serves) {
      by_service_[serves].push_back(facts.id);
    }
  }
}

void server_registry::expire_absent(time_point now) {
  for (const backend_server& facts : last_servers_) {
    servers_.at(facts.id).last_listed = now;
  }
  std::erase_if(servers_, [now](const auto& each) {
    return now - each.second.last_listed > absent_retention && each.second.state->in_flight() == 0;
  });
}

std::string server_registry::kind_of(const backend_server& facts) {
  const std::string first = facts.serves.empty() ? std::string() : facts.serves.front();
  return (facts.kind == backend_kind::engine ? "engine " : "service ") + first;
}

server_registry::prior_table server_registry::learn_priors() const {
  prior_table sums;
  std::map<std::string, int> counts;
  for (const auto& [id, known] : servers_) {
    const std::string kind = kind_of(known.state->facts());
    const server_speed speed = known.state->speed();
    const int count = counts[kind]++;
    server_speed& mean = sums[kind];
    mean.first_token_ms = (mean.first_token_ms * count + speed.first_token_ms) / (count + 1);
    mean.per_token_ms = (mean.per_token_ms * count + speed.per_token_ms) / (count + 1);
  }
  return sums;
}

void server_registry::count_peers(const fleet_snapshot& fleet) {
  shared_ = {};
  shared_.router_seed = stable_hash(own_vm_);
  idle_peers_ = 0;
  std::uint32_t busy_peers = 0;
  for (const peer_waiting& peer : fleet.waiting) {
    if (peer.vm == own_vm_) {
      continue;
    }
    bool waits = false;
    for (int index = 0; index < tier_count; ++index) {
      shared_.higher_tier_waits_at_peer.at(index) =
          shared_.higher_tier_waits_at_peer.at(index) || waits;
      waits = waits || peer.by_tier[index] > 0;
      shared_.contenders.at(index) += waits ? 1 : 0;
    }
    (waits ? busy_peers : idle_peers_) += 1;
  }
}

void server_registry::update_slot_shift(const fleet_snapshot& fleet,
                                        const std::array<std::uint32_t, tier_count>& own_waiting,
                                        time_point now) {
  std::vector<peer_waiting> waiting;
  for (const peer_waiting& peer : fleet.waiting) {
    if (peer.vm != own_vm_) {
      waiting.push_back(peer);
    }
  }
  peer_waiting& own = waiting.emplace_back();
  own.vm = own_vm_;
  std::copy(own_waiting.begin(), own_waiting.end(), std::begin(own.by_tier));
  demand_.observe(waiting, own_vm_, now);
  const auto servers = static_cast<double>(std::max<std::size_t>(1, last_servers_.size()));
  for (int index = 0; index < tier_count; ++index) {
    shared_.borrowed.at(index) = demand_.shift().borrowed.at(index) / servers;
    shared_.lent.at(index) = demand_.shift().lent.at(index) / servers;
  }
}

sharing server_registry::sharing_for(std::uint32_t routers) const {
  sharing shared = shared_;
  shared.routers = std::max(1U, routers);
  for (std::uint32_t& contenders : shared.contenders) {
    contenders = std::min(contenders, shared.routers);
  }
  return shared;
}

limit_share server_registry::limits() const {
  limit_share share;
  share.routers = std::max<std::uint32_t>(1, static_cast<std::uint32_t>(routers_.size()));
  share.idle_peers = std::min(idle_peers_, share.routers - 1);
  return share;
}

service_servers server_registry::servers_of(std::string_view serves) const {
  service_servers part;
  const auto found = by_service_.find(serves);
  if (found == by_service_.end()) {
    part.shared = sharing_for(1);
    return part;
  }
  const server_subset subset =
      choose_subset(serves, found->second, routers_, own_vm_, settings_.choice);
  for (const server_subset::used_server& used : subset.servers) {
    const std::string& id = found->second.at(used.position);
    part.servers.push_back({servers_.find(id)->second.state, used.rank});
  }
  part.shared = sharing_for(subset.routers_per_server);
  return part;
}

std::vector<server_view> server_registry::view(time_point now) const {
  std::vector<server_view> views;
  views.reserve(servers_.size());
  for (const auto& [id, known] : servers_) {
    views.push_back(known.state->view(now));
  }
  return views;
}

}  // namespace hawthornnotch::policy
