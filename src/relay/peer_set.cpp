#include "hawthornnotch/relay/peer_set.h"

#include <algorithm>

#include "hawthornnotch/base/hash.h"

namespace hawthornnotch::relay {

namespace {

/// One of this many contacts goes to a seed that is not known as a peer.
constexpr std::uint64_t seed_interval = 8;
/// One of this many contacts goes to another failure domain, if the own one has at least
/// `min_local_peers` live peers: traffic between failure domains is expensive.
constexpr std::uint64_t remote_interval = 3;
constexpr std::size_t min_local_peers = 8;
/// Up to this many live peers are all notified of a change; of more, these numbers of the own
/// failure domain and of the others.
constexpr std::size_t max_notify_all = 8;
constexpr std::size_t max_notify_local = 4;
constexpr std::size_t max_notify_remote = 2;
/// A peer that did not answer is not contacted for this long.
constexpr duration failure_skip_time{1'000};

void sample(std::vector<endpoint>& peers, std::size_t limit, random_source& random) {
  std::shuffle(peers.begin(), peers.end(), random.engine());
  peers.resize(std::min(peers.size(), limit));
}

// In a large fleet only some peers have a recent report; the others are assumed to have the same
// average load.
void extrapolate(std::map<std::string, server_work, std::less<>>& total, double factor) {
  for (auto& [server, work] : total) {
    work.running = static_cast<std::uint32_t>(work.running * factor);
    work.sensitive = static_cast<std::uint32_t>(work.sensitive * factor);
    work.prefill_tokens =
        static_cast<std::uint64_t>(static_cast<double>(work.prefill_tokens) * factor);
  }
}

}  // namespace

peer_set::peer_set(peer self, std::vector<endpoint> seeds, peer_set_settings settings)
    : self_(std::move(self)),
      seeds_(std::move(seeds)),
      settings_(settings),
      hash_order_(stable_hash(self_.vm)),
      members_(self_.failure_domain, settings_.failure_domains) {}

peer_set::known_peer* peer_set::merge_peer(const peer& about, bool direct, time_point now) {
  if (about.vm == self_.vm) {
    return nullptr;
  }
  const auto [found, is_new] = peers_.try_emplace(about.vm);
  known_peer& known = found->second;
  if (is_new) {
    known.hash_order = stable_hash(about.vm);
  }
  const bool new_incarnation = known.about.incarnation != about.incarnation;
  // Forwarded state of an earlier incarnation may circulate after a restart, so only a message from
  // the process itself establishes a new incarnation with a lower heartbeat.
  const bool newer =
      is_new || about.heartbeat > known.about.heartbeat || (direct && new_incarnation);
  if (newer) {
    members_.observe(about.vm, about.failure_domain, now);
    update_peer(known, about, direct, now);
  }
  return &known;
}

// Forwarded state may omit a peer's work and what the peer declares, as an entry in the store does;
// the last known is then kept, also of the VM's earlier process, until the new one is heard.
void peer_set::update_peer(known_peer& known, const peer& about, bool direct, time_point now) {
  const bool same_incarnation = known.about.incarnation == about.incarnation;
  if (!same_incarnation && !known.about.incarnation.empty()) {
    disrupted_at_ = now;
  }
  const bool has_work = direct || !about.work.empty() || !same_incarnation;
  std::vector<server_work> previous_work = std::move(known.about.work);
  const bool declared = (same_incarnation || !direct) && known.about.declares_versions;
  known.about = about;
  known.about.declares_versions = about.declares_versions || declared;
  known.heartbeat_at = now;
  if (has_work) {
    known.work_at = now;
  } else {
    known.about.work = std::move(previous_work);
  }
}

duration peer_set::heartbeat_timeout() const {
  const auto peers = static_cast<std::int64_t>(peers_.size());
  return std::max(settings_.heartbeat_timeout, settings_.heartbeat_timeout_per_peer * peers);
}

void peer_set::merge_message(const exchange_message& message, time_point now) {
  for (const peer& each : message.peers) {
    merge_peer(each, false, now);
  }
  known_peer* from = merge_peer(message.from, true, now);
  if (from != nullptr) {
    from->skip_until = now;
  }
  erase_expired(now);
}

void peer_set::contact_failed(const endpoint& address, time_point now) {
  for (auto& [vm, known] : peers_) {
    if (known.about.address == address) {
      disrupted_at_ = alive(known, now) ? now : disrupted_at_;
      known.skip_until = now + failure_skip_time;
    }
  }
}

void peer_set::erase_expired(time_point now) {
  for (auto each = peers_.begin(); each != peers_.end();) {
    const bool old = now - each->second.heartbeat_at > settings_.retention;
    each = old ? peers_.erase(each) : std::next(each);
  }
}

bool peer_set::alive(const known_peer& known, time_point now) const {
  return !known.about.leaving && now - known.heartbeat_at <= heartbeat_timeout();
}

bool peer_set::is_known_address(const endpoint& address) const {
  if (address == self_.address) {
    return true;
  }
  return std::any_of(peers_.begin(), peers_.end(),
                     [&](const auto& each) { return each.second.about.address == address; });
}

std::size_t peer_set::live_local_count(time_point now) const {
  return static_cast<std::size_t>(
      std::count_if(peers_.begin(), peers_.end(), [&](const auto& each) {
        return each.second.about.failure_domain == self_.failure_domain && alive(each.second, now);
      }));
}

std::optional<endpoint> peer_set::next_contact(time_point now, random_source& random) {
  ++contacts_;
  std::vector<endpoint> unknown_seeds;
  for (const endpoint& seed : seeds_) {
    if (!is_known_address(seed)) {
      unknown_seeds.push_back(seed);
    }
  }
  const bool enough_local = live_local_count(now) >= min_local_peers;
  const bool local_turn = enough_local && contacts_ % remote_interval != 0;
  std::vector<const known_peer*> candidates;
  for (const auto& [vm, known] : peers_) {
    const bool local = known.about.failure_domain == self_.failure_domain;
    const bool in_scope = !enough_local || local == local_turn;
    if (!known.about.leaving && now >= known.skip_until && in_scope) {
      candidates.push_back(&known);
    }
  }
  const bool try_seed = candidates.empty() || contacts_ % seed_interval == 0;
  if (try_seed && !unknown_seeds.empty()) {
    return unknown_seeds[random.below(unknown_seeds.size())];
  }
  if (candidates.empty()) {
    return std::nullopt;
  }
  // Chosen at random: in round-robin order all VMs of a failure domain would contact the same
  // peers.
  if (enough_local && !local_turn) {
    return candidates[random.below(candidates.size())]->about.address;
  }
  return next_round_robin(candidates);
}

const endpoint& peer_set::next_round_robin(std::span<const known_peer* const> candidates) {
  const auto next = std::find_if(
      candidates.begin(), candidates.end(),
      [&](const known_peer* candidate) { return candidate->about.vm > last_contact_; });
  const known_peer& selected = next == candidates.end() ? *candidates.front() : **next;
  last_contact_ = selected.about.vm;
  return selected.about.address;
}

std::vector<endpoint> peer_set::peers_to_notify(time_point now, random_source& random) const {
  std::vector<endpoint> local;
  std::vector<endpoint> remote;
  for (const auto& [vm, known] : peers_) {
    if (alive(known, now)) {
      const bool is_local = known.about.failure_domain == self_.failure_domain;
      (is_local ? local : remote).push_back(known.about.address);
    }
  }
  if (local.size() + remote.size() > max_notify_all) {
    sample(local, max_notify_local, random);
    sample(remote, max_notify_remote, random);
  }
  local.insert(local.end(), remote.begin(), remote.end());
  return local;
}

std::vector<endpoint> peer_set::live_addresses(time_point now) const {
  std::vector<endpoint> addresses;
  for (const auto& [vm, known] : peers_) {
    if (alive(known, now)) {
      addresses.push_back(known.about.address);
    }
  }
  return addresses;
}

std::size_t peer_set::live_count(time_point now) const {
  const auto live = std::count_if(peers_.begin(), peers_.end(),
                                  [&](const auto& each) { return alive(each.second, now); });
  return static_cast<std::size_t>(live) + 1;
}

bool peer_set::reaches(std::string_view failure_domain, time_point now) const {
  bool has_vms = std::find(settings_.failure_domains.begin(), settings_.failure_domains.end(),
                           failure_domain) != settings_.failure_domains.end();
  bool heard = failure_domain == self_.failure_domain;
  for (const auto& [vm, known] : peers_) {
    const bool within = known.about.failure_domain == failure_domain;
    has_vms = has_vms || within;
    heard = heard || (within && alive(known, now));
  }
  return heard || !has_vms;
}

std::size_t peer_set::member_count() const {
  const bool has_seeds = std::any_of(seeds_.begin(), seeds_.end(),
                                     [&](const endpoint& seed) { return seed != self_.address; });
  const bool isolated = has_seeds && !members_.knows_others();
  return isolated ? 0 : members_.count();
}

std::vector<std::uint64_t> peer_set::known_hashes() const {
  std::vector<std::uint64_t> hashes;
  hashes.reserve(peers_.size());
  for (const auto& [vm, known] : peers_) {
    hashes.push_back(known.hash_order);
  }
  return hashes;
}

bool peer_set::all_declare_versions() const {
  return std::all_of(peers_.begin(), peers_.end(),
                     [](const auto& each) { return each.second.about.declares_versions; });
}

std::optional<endpoint> peer_set::address_of(std::string_view vm) const {
  const auto found = peers_.find(vm);
  return found == peers_.end() ? std::nullopt : std::optional(found->second.about.address);
}

keeper_set peer_set::keepers_of(std::uint64_t key, std::size_t count) const {
  struct ranked_vm {
    std::uint64_t order = 0;
    const endpoint* address = nullptr;
  };
  std::vector<ranked_vm> ranked;
  ranked.reserve(peers_.size() + 1);
  ranked.push_back({stable_hash(self_.vm, key), nullptr});
  for (const auto& [vm, known] : peers_) {
    ranked.push_back({stable_hash(vm, key), &known.about.address});
  }
  const std::size_t kept = std::min(count, ranked.size());
  std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(kept),
                    ranked.end(),
                    [](const ranked_vm& a, const ranked_vm& b) { return a.order > b.order; });
  keeper_set keepers;
  for (std::size_t index = 0; index < kept; ++index) {
    if (ranked[index].address != nullptr) {
      keepers.peers.push_back(*ranked[index].address);
    } else {
      keepers.includes_this_vm = true;
    }
  }
  return keepers;
}

peer_changes peer_set::take_changes(time_point now) {
  peer_changes changes;
  for (auto& [vm, known] : peers_) {
    const bool now_alive = alive(known, now);
    if (now_alive != known.reported_alive) {
      (now_alive ? changes.found : changes.lost).push_back(vm);
    }
    known.reported_alive = now_alive;
  }
  if (!changes.lost.empty()) {
    disrupted_at_ = now;
  }
  return changes;
}

store_rank peer_set::rank(time_point now) const {
  store_rank rank;
  for (const auto& [vm, known] : peers_) {
    if (known.hash_order < hash_order_ && alive(known, now)) {
      ++rank.in_fleet;
      rank.in_domain += known.about.failure_domain == self_.failure_domain ? 1 : 0;
    }
  }
  return rank;
}

std::map<std::string, server_work, std::less<>> peer_set::total_peer_work(time_point now) const {
  std::map<std::string, server_work, std::less<>> total;
  std::size_t reporting = 0;
  std::size_t live = 0;
  for (const auto& [vm, known] : peers_) {
    live += alive(known, now) ? 1 : 0;
    if (now - known.work_at > settings_.work_max_age) {
      continue;
    }
    ++reporting;
    for (const server_work& work : known.about.work) {
      server_work& into = total[work.server];
      into.server = work.server;
      into.running += work.running;
      into.prefill_tokens += work.prefill_tokens;
      into.sensitive += work.sensitive;
    }
  }
  if (reporting > 0 && live > reporting) {
    extrapolate(total, static_cast<double>(live) / static_cast<double>(reporting));
  }
  return total;
}

const peer& peer_set::next_heartbeat(std::vector<server_work> work) {
  self_.work = std::move(work);
  ++self_.heartbeat;
  return self_;
}

std::vector<peer> peer_set::sample_peers(time_point now, random_source& random) const {
  std::vector<const known_peer*> live;
  for (const auto& [vm, known] : peers_) {
    if (now - known.heartbeat_at <= heartbeat_timeout()) {
      live.push_back(&known);
    }
  }
  const std::size_t limit = settings_.peers_with_work + settings_.peers_without_work;
  const std::size_t count = std::min(live.size(), limit);
  std::vector<peer> out;
  out.reserve(count);
  for (std::size_t index = 0; index < count; ++index) {
    std::swap(live[index], live[index + random.below(live.size() - index)]);
    out.push_back(live[index]->about);
    const bool fresh_work = now - live[index]->work_at <= settings_.work_max_age;
    if (index >= settings_.peers_with_work || !fresh_work) {
      out.back().work.clear();
    }
  }
  return out;
}

}  // namespace hawthornnotch::relay
