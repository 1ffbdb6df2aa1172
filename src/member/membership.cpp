#include "hawthornnotch/member/membership.h"

#include <algorithm>
#include <utility>

#include "hawthornnotch/base/hash.h"

namespace hawthornnotch::member {

namespace {

constexpr std::size_t most_remote_contacts = 64;

}  // namespace

std::unique_ptr<membership> membership::create(const entry_vm& self, std::string log_id,
                                               membership_settings settings, const clock& time) {
  return std::unique_ptr<membership>(
      new membership(self, std::move(log_id), std::move(settings), time));
}

membership::membership(const entry_vm& self, std::string log_id, membership_settings settings,
                       const clock& time)
    : log_id_(std::move(log_id)),
      settings_(std::move(settings)),
      time_(time),
      peers_(self, settings_.peers, facts_, loads_, time),
      backends_(self.failure_domain, settings_.backends, facts_, time) {}

void membership::apply_list(const std::vector<fleet_vm>& listed) {
  std::vector<backend_server> servers;
  for (const auto& vm : listed) {
    std::visit(overloaded{
                   [&servers](const backend_server& server) { servers.push_back(server); },
                   [this](const entry_vm& entry) {
                     peers_.merge({entry, 0}, {});
                     remember_remote(entry);
                   },
               },
               vm);
  }
  backends_.apply_list(servers);
}

void membership::apply_announcement(const fleet_vm& announced, std::int64_t revision) {
  std::visit(overloaded{
                 [this, revision](const backend_server& server) {
                   backends_.apply_announcement(server, revision);
                 },
                 [this](const entry_vm& entry) {
                   peers_.merge({entry, 0}, {});
                   remember_remote(entry);
                 },
             },
             announced);
}

void membership::remember_remote(const entry_vm& vm) {
  if (vm.failure_domain == peers_.self().vm.failure_domain) {
    return;
  }
  if (vm.leaving) {
    remote_.erase(vm.id);
  } else if (remote_.size() < most_remote_contacts || remote_.count(vm.id) > 0) {
    remote_[vm.id] = vm;
  }
}

void membership::apply_report(const load_report& report) { merge_report(report, {}); }

void membership::apply_models(const loaded_models& seen) { merge_models(seen, {}); }

void membership::apply_waiting(const std::uint32_t (&by_tier)[tier_count]) {
  peer_waiting own;
  own.vm = peers_.self().vm.id;
  std::copy(std::begin(by_tier), std::end(by_tier), std::begin(own.by_tier));
  merge_waiting(own, {});
}

void membership::apply_workspaces(const workspace_table& table, bool complete) {
  for (const auto& [name, parameters] : table) {
    merge_workspace(parameters, {});
  }
  complete_ = complete_ || complete;
}

void membership::begin_round() {
  ++round_;
  peers_.begin_round();
  backends_.expire();
  drop_loads_of_unknown();
  refresh_digests();
}

void membership::drop_loads_of_unknown() {
  std::erase_if(reports_, [this](const auto& entry) {
    const bool unknown = backends_.find(entry.first) == nullptr;
    if (unknown) {
      loads_.forget({load_kind::report, entry.first});
    }
    return unknown;
  });
  std::erase_if(models_, [this](const auto& entry) {
    const bool unknown = backends_.find(entry.first) == nullptr;
    if (unknown) {
      facts_.forget({fact_kind::loaded_models, entry.first, {}});
    }
    return unknown;
  });
  std::erase_if(waiting_,
                [this](const auto& entry) { return peers_.find(entry.first) == nullptr; });
}

void membership::merge(const fact& incoming, std::string_view origin) {
  std::visit(overloaded{
                 [&](const backend_record& record) { backends_.merge(record, origin); },
                 [&](const retired_incarnation& gone) { backends_.retire(gone, origin); },
                 [&](const vm_record& record) { peers_.merge(record, origin); },
                 [&](const suspicion& word) { peers_.merge(word, origin); },
                 [&](const loaded_models& seen) { merge_models(seen, origin); },
                 [&](const workspace_parameters& workspace) { merge_workspace(workspace, origin); },
             },
             incoming);
}

void membership::merge(const load& incoming, std::string_view origin) {
  std::visit(overloaded{
                 [&](const heartbeat& sign) { peers_.hear(sign, origin); },
                 [&](const load_report& report) { merge_report(report, origin); },
                 [&](const peer_waiting& waiting) { merge_waiting(waiting, origin); },
             },
             incoming);
}

void membership::merge_workspace(const workspace_parameters& incoming, std::string_view origin) {
  const auto found = workspaces_.find(incoming.workspace);
  const bool known = found != workspaces_.end();
  if (known && found->second.revision >= incoming.revision) {
    return;
  }
  if (!known && workspaces_.size() >= settings_.workspaces) {
    return;
  }
  workspaces_[incoming.workspace] = incoming;
  facts_.touch({fact_kind::workspace, incoming.workspace, {}}, origin);
}

void membership::merge_report(const load_report& incoming, std::string_view origin) {
  if (backends_.find(incoming.backend_server) == nullptr) {
    return;
  }
  const auto found = reports_.find(incoming.backend_server);
  if (found != reports_.end() && found->second.measured >= incoming.measured) {
    return;
  }
  reports_[incoming.backend_server] = incoming;
  loads_.touch({load_kind::report, incoming.backend_server}, origin);
  ++load_changes_;
}

void membership::merge_waiting(const peer_waiting& incoming, std::string_view origin) {
  if (peers_.find(incoming.vm) == nullptr) {
    return;
  }
  const bool own = incoming.vm == peers_.self().vm.id;
  if (own && !origin.empty()) {
    return;
  }
  waiting_[incoming.vm] = {incoming, time_.now()};
  ++load_changes_;
}

void membership::merge_models(const loaded_models& incoming, std::string_view origin) {
  const auto* record = backends_.find(incoming.backend_server);
  if (record == nullptr || record->server.incarnation != incoming.incarnation) {
    return;
  }
  loaded_models& known = models_[incoming.backend_server];
  const bool same_start = known.incarnation == incoming.incarnation;
  if (same_start && known.observed_at_ms >= incoming.observed_at_ms) {
    return;
  }
  const bool news = !same_start || known.models != incoming.models;
  known = incoming;
  if (news) {
    facts_.touch({fact_kind::loaded_models, incoming.backend_server, {}}, origin);
  }
}

const loaded_models* membership::models_of(const std::string& backend_server) const {
  const auto* record = backends_.find(backend_server);
  const auto found = models_.find(backend_server);
  if (record == nullptr || found == models_.end() ||
      found->second.incarnation != record->server.incarnation) {
    return nullptr;
  }
  return &found->second;
}

fleet_snapshot membership::snapshot() const {
  fleet_snapshot out;
  out.version = version();
  out.backend_servers = backends_.servers();
  for (auto& server : out.backend_servers) {
    const auto* seen = models_of(server.id);
    if (seen != nullptr && server.kind == backend_kind::engine) {
      server.serves = seen->models;
    }
  }
  out.entry_vms = peers_.sharers();
  for (const auto& [id, report] : reports_) {
    const bool fresh = time_.now() - report.measured < settings_.load_lifetime;
    if (fresh && backends_.find(id) != nullptr) {
      out.reports.push_back(report);
    }
  }
  for (const auto& [id, counts] : waiting_) {
    const bool fresh = time_.now() - counts.heard < settings_.load_lifetime;
    if (fresh && id != peers_.self().vm.id && peers_.status_of(id) == vm_standing::alive) {
      out.waiting.push_back(counts.waiting);
    }
  }
  return out;
}

// Rendezvous hashing: every agent finds the same few without a word, and a change of one VM moves
// only that VM's tasks.
bool membership::among_first(std::string_view task, std::size_t count) const {
  const auto& self = peers_.self().vm;
  if (self.leaving) {
    return false;
  }
  const std::uint64_t seed = stable_hash(task);
  const std::uint64_t own = stable_hash(self.id, seed);
  std::size_t before = 0;
  for (const auto& vm : peers_.sharers()) {
    if (vm.id != self.id && stable_hash(vm.id, seed) > own) {
      ++before;
    }
  }
  return before < count;
}

bool membership::watches_platform() const { return among_first("watch", settings_.watchers); }

bool membership::lease_candidate() const { return among_first("lease", settings_.watchers); }

bool membership::polls(std::string_view backend_server) const {
  return among_first(std::string("load/").append(backend_server), settings_.pollers);
}

}  // namespace hawthornnotch::member
