// Gossip exchange with peers: peer selection, messages within a byte budget, acknowledgement.
#include <algorithm>
#include <utility>

#include "hawthornnotch/member/membership.h"

namespace hawthornnotch::member {

namespace {

constexpr std::size_t max_progress_records = 2048;
// Rounds between two exchanges with seeds whose address no known VM has.
constexpr std::uint64_t seed_interval = 5;
// Silent VMs contacted in one round, so that many failed VMs are suspected within few rounds.
constexpr std::size_t max_silent_probes = 3;
// Encoded sizes, estimated.
constexpr std::size_t fact_overhead_bytes = 120;
constexpr std::size_t class_bytes = 200;
constexpr std::size_t hash_bytes = 70;
constexpr std::size_t load_overhead_bytes = 40;
// Heartbeats may use the load budget divided by this.
constexpr std::size_t heartbeat_budget_divisor = 3;

std::size_t total_size(const std::vector<std::string>& texts) {
  std::size_t bytes = 0;
  for (const auto& text : texts) {
    bytes += text.size() + 4;
  }
  return bytes;
}

// Estimates the encoded size: the budget is applied before the message is encoded.
std::size_t approximate_bytes(const fact& what) {
  const std::size_t extra = std::visit(
      overloaded{
          [](const backend_record& record) {
            return fact_overhead_bytes + total_size(record.server.serves);
          },
          [](const retired_incarnation& /*gone*/) { return std::size_t{40}; },
          [](const vm_record& /*record*/) { return std::size_t{100}; },
          [](const suspicion& /*suspected*/) { return std::size_t{20}; },
          [](const loaded_models& seen) { return total_size(seen.models); },
          [](const workspace_parameters& workspace) {
            return workspace.classes.size() * class_bytes + total_size(workspace.models) +
                   workspace.key_hashes.size() * hash_bytes;
          },
      },
      what);
  return fact_overhead_bytes + extra;
}

template <class Element>
void shuffle_front(std::vector<Element>& all, std::size_t count, random_source& random) {
  count = std::min(count, all.size());
  for (std::size_t index = 0; index < count; ++index) {
    const auto other = index + random.below(all.size() - index);
    std::swap(all[index], all[other]);
  }
  all.resize(count);
}

}  // namespace

std::vector<peer_contact> membership::choose_peers(random_source& random) {
  std::vector<peer_contact> chosen;
  add_peers(chosen, random);
  add_seeds(chosen);
  add_remote(chosen, random);
  return chosen;
}

void membership::add_peers(std::vector<peer_contact>& chosen, random_source& random) const {
  std::vector<peer_contact> live;
  std::vector<peer_contact> silent;
  for (const auto& vm : peers_.others()) {
    const peer_contact contact{vm.id, vm.agent, true};
    switch (peers_.status_of(vm.id)) {
      case vm_status::alive:
        (peers_.silent(vm.id) ? silent : live).push_back(contact);
        break;
      case vm_status::contact:
      case vm_status::suspected:
      case vm_status::gone:
        silent.push_back(contact);
        break;
      case vm_status::leaving:
        break;
    }
  }
  shuffle_front(live, settings_.fanout, random);
  shuffle_front(silent, max_silent_probes, random);
  chosen.insert(chosen.end(), live.begin(), live.end());
  chosen.insert(chosen.end(), silent.begin(), silent.end());
}

void membership::add_seeds(std::vector<peer_contact>& chosen) const {
  const bool due = chosen.empty() || round_ % seed_interval == 0;
  if (!due) {
    return;
  }
  const auto others = peers_.others();
  for (const auto& seed : settings_.seeds) {
    const bool known = std::any_of(others.begin(), others.end(),
                                   [&seed](const entry_vm& vm) { return vm.agent == seed; });
    if (!known && seed != peers_.self().vm.agent) {
      chosen.push_back({{}, seed, true});
    }
  }
}

void membership::add_remote(std::vector<peer_contact>& chosen, random_source& random) const {
  if (remote_contacts_.empty() || round_ % settings_.remote_interval != 0) {
    return;
  }
  auto pick = remote_contacts_.begin();
  std::advance(pick, static_cast<std::ptrdiff_t>(random.below(remote_contacts_.size())));
  chosen.push_back({pick->first, pick->second.agent, false});
}

gossip_message membership::message_for(const peer_contact& peer) {
  return compose(peer.id, peer.same_failure_domain);
}

gossip_message membership::receive(const gossip_message& message) {
  apply_message(message);
  const auto& from = message.from.vm;
  return compose(from.id, from.failure_domain == peers_.self().vm.failure_domain);
}

void membership::receive_answer(const peer_contact& peer, const gossip_message& answer) {
  apply_message(answer);
  peers_.exchange_succeeded(answer.from.vm.id);
  const bool another_answers = !peer.id.empty() && peer.id != answer.from.vm.id;
  if (another_answers) {
    peers_.exchange_failed(peer.id);
  }
}

void membership::exchange_failed(const peer_contact& peer) { peers_.exchange_failed(peer.id); }

gossip_message membership::compose(const std::string& peer, bool same_failure_domain) {
  gossip_message message;
  message.from = peers_.self();
  message.log_id = log_id_;
  message.heartbeat_counter = peers_.heartbeat_counter();
  message.newest_fact = facts_.version();
  message.configuration_complete = complete_;
  peer_progress new_progress;
  const auto found = progress_by_peer_.find(peer);
  peer_progress& known = found == progress_by_peer_.end() ? new_progress : found->second;
  message.after = known.acknowledged;
  message.seen = known.seen;
  message.after.log_id = log_id_;
  message.upto = message.after;
  add_facts(message, peer, known, same_failure_domain);
  if (same_failure_domain) {
    message.digests = digests_.buckets();
    add_loads(message, peer, known);
  }
  return message;
}

// Runs once per round: digests of the last round still prove which facts a peer has.
void membership::refresh_digests() {
  digests_ = {};
  digested_version_ = facts_.version();
  facts_.visit_after(0, [this](const fact_log::change& change) {
    if (const auto what = fact_of(change.key)) {
      digests_.add(change.key, *what);
    }
    return true;
  });
}

bool membership::peer_knows(const peer_progress& known, const fact_log::change& change) const {
  const bool digested = change.version <= digested_version_;
  return digested && digests_.matches(known.digests, bucket_of(change.key));
}

void membership::add_facts(gossip_message& message, const std::string& peer,
                           const peer_progress& known, bool same_failure_domain) const {
  std::size_t budget = settings_.fact_bytes;
  bool whole = true;
  facts_.visit_after(message.after.facts, [&](const fact_log::change& change) {
    const bool wanted = (same_failure_domain || change.key.kind == fact_kind::workspace) &&
                        !peer_knows(known, change);
    const auto what = fact_of(change.key);
    const bool is_new = peer.empty() || change.origin != peer;
    if (wanted && what && is_new) {
      const std::size_t bytes = approximate_bytes(*what);
      if (bytes > budget && !message.facts.empty()) {
        whole = false;
        return false;
      }
      budget -= std::min(budget, bytes);
      message.facts.push_back(*what);
    }
    message.upto.facts = change.version;
    return true;
  });
  if (whole) {
    message.upto.facts = facts_.version();
  }
}

void membership::add_loads(gossip_message& message, const std::string& peer,
                           peer_progress& known) const {
  const auto own = load_of({load_kind::waiting, peers_.self().vm.id});
  if (own) {
    message.loads.push_back(*own);
  }
  const std::size_t heartbeat_budget = settings_.load_bytes / heartbeat_budget_divisor;
  add_round_robin(message, peer, load_kind::heartbeat, heartbeat_budget, known.last_heartbeat);
  add_round_robin(message, peer, load_kind::report, settings_.load_bytes - heartbeat_budget,
                  known.last_report);
}

void membership::add_round_robin(gossip_message& message, const std::string& peer, load_kind kind,
                                 std::size_t budget, std::string& last) const {
  const std::string after = last;
  loads_.visit_round_robin(kind, after, [&](const std::string& id, const std::string& origin) {
    const std::size_t bytes = load_overhead_bytes + id.size();
    if (bytes > budget) {
      return false;
    }
    last = id;
    const auto what = load_of({kind, id});
    const bool is_new = peer.empty() || origin != peer;
    if (what && is_new) {
      budget -= bytes;
      message.loads.push_back(*what);
    }
    return true;
  });
}

std::optional<fact> membership::fact_of(const fact_key& key) const {
  switch (key.kind) {
    case fact_kind::backend_server: {
      const auto* record = backends_.find(key.id);
      return record == nullptr ? std::nullopt : std::optional<fact>(*record);
    }
    case fact_kind::retired:
      return fact(retired_incarnation{key.id, key.detail});
    case fact_kind::entry_vm: {
      const auto* record = peers_.find(key.id);
      return record == nullptr ? std::nullopt : std::optional<fact>(*record);
    }
    case fact_kind::suspicion:
      return peers_.suspicion_of(key.id, key.detail);
    case fact_kind::loaded_models: {
      const auto* seen = models_of(key.id);
      return seen == nullptr ? std::nullopt : std::optional<fact>(*seen);
    }
    case fact_kind::workspace:
      return fact(workspaces_.at(key.id));
  }
  return std::nullopt;
}

std::optional<load> membership::load_of(const load_key& key) const {
  switch (key.kind) {
    case load_kind::heartbeat:
      return load(heartbeat{key.id, peers_.heartbeat_of(key.id)});
    case load_kind::report: {
      const load_report& report = reports_.at(key.id);
      const bool fresh = time_.now() - report.measured < settings_.load_max_age;
      return fresh ? std::optional<load>(report) : std::nullopt;
    }
    case load_kind::waiting: {
      const auto found = waiting_.find(key.id);
      return found == waiting_.end() ? std::nullopt : std::optional<load>(found->second.waiting);
    }
  }
  return std::nullopt;
}

void membership::apply_message(const gossip_message& message) {
  const std::string& peer = message.from.vm.id;
  if (peer == peers_.self().vm.id || peer.empty()) {
    return;
  }
  if (progress_by_peer_.size() >= max_progress_records && progress_by_peer_.count(peer) == 0) {
    progress_by_peer_.clear();
  }
  peer_progress& known = progress_by_peer_[peer];
  if (known.log_id != message.log_id) {
    known = {message.log_id, {}, {message.log_id, 0}, {}, {}, {}};
  }
  known.digests = message.digests;
  if (message.seen.log_id == log_id_) {
    known.acknowledged.facts = std::max(known.acknowledged.facts, message.seen.facts);
  }
  update_remote_contact(message.from.vm);
  peers_.merge(message.from, peer);
  peers_.merge_heartbeat({peer, message.heartbeat_counter}, peer);
  for (const auto& what : message.facts) {
    merge(what, peer);
  }
  for (const auto& what : message.loads) {
    merge(what, peer);
  }
  if (message.after.facts <= known.seen.facts) {
    known.seen.facts = std::max(known.seen.facts, message.upto.facts);
  }
  if (message.configuration_complete && known.seen.facts >= message.newest_fact) {
    complete_ = true;
  }
}

}  // namespace hawthornnotch::member
