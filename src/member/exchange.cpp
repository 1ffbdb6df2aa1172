// The exchange with peers: choice of peers, messages within a byte budget, acknowledgement.
#include <algorithm>
#include <utility>

#include "hawthornnotch/member/membership.h"

namespace hawthornnotch::member {

namespace {

constexpr std::size_t most_progress_records = 2048;
// Rounds between two exchanges with a seed that no known VM answers for.
constexpr std::uint64_t seed_every = 5;
// Silent VMs asked in one round, so that suspicion of many ripens within few rounds.
constexpr std::size_t most_silent_probes = 3;
constexpr std::size_t fact_overhead_bytes = 120;
constexpr std::size_t class_bytes = 200;
constexpr std::size_t hash_bytes = 70;
constexpr std::size_t load_overhead_bytes = 40;
// Heartbeats may take one part of so many of the budget for loads.
constexpr std::size_t heartbeat_part = 3;

std::size_t total_size(const std::vector<std::string>& texts) {
  std::size_t bytes = 0;
  for (const auto& text : texts) {
    bytes += text.size() + 4;
  }
  return bytes;
}

// Estimates, not exact: the budget bounds what is composed before it is encoded.
std::size_t approximate_bytes(const fact& what) {
  const std::size_t extra = std::visit(
      overloaded{
          [](const backend_record& record) {
            return fact_overhead_bytes + total_size(record.server.serves);
          },
          [](const retired_incarnation& /*gone*/) { return std::size_t{40}; },
          [](const vm_record& /*record*/) { return std::size_t{100}; },
          [](const suspicion& /*word*/) { return std::size_t{20}; },
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
      case vm_standing::alive:
        (peers_.silent(vm.id) ? silent : live).push_back(contact);
        break;
      case vm_standing::contact:
      case vm_standing::suspected:
      case vm_standing::gone:
        silent.push_back(contact);
        break;
      case vm_standing::leaving:
        break;
    }
  }
  shuffle_front(live, settings_.fanout, random);
  shuffle_front(silent, most_silent_probes, random);
  chosen.insert(chosen.end(), live.begin(), live.end());
  chosen.insert(chosen.end(), silent.begin(), silent.end());
}

void membership::add_seeds(std::vector<peer_contact>& chosen) const {
  const bool due = chosen.empty() || round_ % seed_every == 0;
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
  if (remote_.empty() || round_ % settings_.remote_every != 0) {
    return;
  }
  auto pick = remote_.begin();
  std::advance(pick, static_cast<std::ptrdiff_t>(random.below(remote_.size())));
  chosen.push_back({pick->first, pick->second.agent, false});
}

gossip_message membership::message_for(const peer_contact& peer) {
  return compose(peer.id, peer.same_failure_domain);
}

gossip_message membership::receive(const gossip_message& message) {
  take(message);
  const auto& from = message.from.vm;
  return compose(from.id, from.failure_domain == peers_.self().vm.failure_domain);
}

void membership::receive_answer(const peer_contact& peer, const gossip_message& answer) {
  take(answer);
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
  progress first_contact;
  const auto found = progress_.find(peer);
  progress& known = found == progress_.end() ? first_contact : found->second;
  message.after = known.acknowledged;
  message.seen = known.seen;
  message.after.log_id = log_id_;
  message.upto = message.after;
  add_facts(message, peer, known, same_failure_domain);
  if (same_failure_domain) {
    message.digests = digests_.sums();
    add_loads(message, peer, known);
  }
  return message;
}

// Once a round: the sums of the last round still prove what a peer knew.
void membership::refresh_digests() {
  digests_ = {};
  digested_ = facts_.version();
  facts_.visit_after(0, [this](const fact_log::change& change) {
    if (const auto what = fact_of(change.key)) {
      digests_.add(change.key, *what);
    }
    return true;
  });
}

bool membership::peer_has(const progress& known, const fact_log::change& change) const {
  const bool summed_up = change.version <= digested_;
  return summed_up && digests_.agrees_with(known.digests, bucket_of(change.key));
}

void membership::add_facts(gossip_message& message, const std::string& peer, const progress& known,
                           bool same_failure_domain) const {
  std::size_t budget = settings_.fact_bytes;
  bool whole = true;
  facts_.visit_after(message.after.facts, [&](const fact_log::change& change) {
    const bool wanted = (same_failure_domain || change.key.kind == fact_kind::workspace) &&
                        !peer_has(known, change);
    const auto what = fact_of(change.key);
    const bool news = peer.empty() || change.origin != peer;
    if (wanted && what && news) {
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
                           progress& known) const {
  const auto own = load_of({load_kind::waiting, peers_.self().vm.id});
  if (own) {
    message.loads.push_back(*own);
  }
  const std::size_t for_heartbeats = settings_.load_bytes / heartbeat_part;
  add_in_turn(message, peer, load_kind::heartbeat, for_heartbeats, known.last_heartbeat);
  add_in_turn(message, peer, load_kind::report, settings_.load_bytes - for_heartbeats,
              known.last_report);
}

void membership::add_in_turn(gossip_message& message, const std::string& peer, load_kind kind,
                             std::size_t budget, std::string& last) const {
  const std::string after = last;
  loads_.visit_cycle(kind, after, [&](const std::string& id, const std::string& origin) {
    const std::size_t bytes = load_overhead_bytes + id.size();
    if (bytes > budget) {
      return false;
    }
    last = id;
    const auto what = load_of({kind, id});
    const bool news = peer.empty() || origin != peer;
    if (what && news) {
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
      const bool fresh = time_.now() - report.measured < settings_.load_lifetime;
      return fresh ? std::optional<load>(report) : std::nullopt;
    }
    case load_kind::waiting: {
      const auto found = waiting_.find(key.id);
      return found == waiting_.end() ? std::nullopt : std::optional<load>(found->second.waiting);
    }
  }
  return std::nullopt;
}

void membership::take(const gossip_message& message) {
  const std::string& peer = message.from.vm.id;
  if (peer == peers_.self().vm.id || peer.empty()) {
    return;
  }
  if (progress_.size() >= most_progress_records && progress_.count(peer) == 0) {
    progress_.clear();
  }
  progress& known = progress_[peer];
  if (known.log_id != message.log_id) {
    known = {message.log_id, {}, {message.log_id, 0}, {}, {}, {}};
  }
  known.digests = message.digests;
  if (message.seen.log_id == log_id_) {
    known.acknowledged.facts = std::max(known.acknowledged.facts, message.seen.facts);
  }
  remember_remote(message.from.vm);
  peers_.merge(message.from, peer);
  peers_.hear({peer, message.heartbeat_counter}, peer);
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
