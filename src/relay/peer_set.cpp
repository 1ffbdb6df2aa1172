#include "hawthornnotch/relay/peer_set.h"

#include <algorithm>

#include "hawthornnotch/base/hash.h"

namespace hawthornnotch::relay {

namespace {

/// Every so many contacts one goes to a seed that is not known as a peer.
constexpr std::uint64_t seed_turn = 8;
/// Every so many contacts one goes to any failure domain, where the own one has enough peers: bytes
/// between failure domains are dear.
constexpr std::uint64_t far_turn = 3;
constexpr std::size_t least_near = 8;
/// All peers are told of a change at once where there are no more than this; else so many of the
/// own failure domain and of the others.
constexpr std::size_t most_told_all = 8;
constexpr std::size_t most_told_near = 4;
constexpr std::size_t most_told_far = 2;
/// A peer that did not answer is passed over for this long.
constexpr duration avoid_time{1'000};

void keep_some(std::vector<endpoint>& peers, std::size_t most, random_source& random) {
  std::shuffle(peers.begin(), peers.end(), random.engine());
  peers.resize(std::min(peers.size(), most));
}

// In a large fleet only some peers are heard of in time: the others are taken to send alike.
void extrapolate(std::map<std::string, server_work, std::less<>>& sum, double factor) {
  for (auto& [server, work] : sum) {
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
      order_(stable_hash(self_.vm)) {}

peer_set::known_peer* peer_set::learn(const peer& about, bool first_hand, time_point now) {
  if (about.vm == self_.vm) {
    return nullptr;
  }
  const auto [found, is_new] = peers_.try_emplace(about.vm);
  known_peer& known = found->second;
  if (is_new) {
    known.order = stable_hash(about.vm);
  }
  const bool restarted = known.about.incarnation != about.incarnation;
  // Hearsay of an earlier start may outlive a restart: only the process itself proves a new one.
  const bool newer = is_new || about.heartbeat > known.about.heartbeat || (first_hand && restarted);
  if (newer) {
    renew(known, about, first_hand, now);
  }
  return &known;
}

// Hearsay may leave a peer's work out: what was known of it is then kept.
void peer_set::renew(known_peer& known, const peer& about, bool first_hand, time_point now) {
  const bool same_start = known.about.incarnation == about.incarnation;
  const bool tells_work = first_hand || !about.work.empty() || !same_start;
  std::vector<server_work> known_work = std::move(known.about.work);
  known.about = about;
  known.risen = now;
  if (tells_work) {
    known.work_known_at = now;
  } else {
    known.about.work = std::move(known_work);
  }
}

duration peer_set::lifetime() const {
  const auto peers = static_cast<std::int64_t>(peers_.size());
  return std::max(settings_.lifetime, settings_.lifetime_by_peer * peers);
}

void peer_set::heard(const exchange_message& message, time_point now) {
  for (const peer& each : message.peers) {
    learn(each, false, now);
  }
  known_peer* from = learn(message.from, true, now);
  if (from != nullptr) {
    from->avoid_until = now;
  }
  forget_old(now);
}

void peer_set::contact_failed(const endpoint& address, time_point now) {
  for (auto& [vm, known] : peers_) {
    if (known.about.address == address) {
      known.avoid_until = now + avoid_time;
    }
  }
}

void peer_set::forget_old(time_point now) {
  for (auto each = peers_.begin(); each != peers_.end();) {
    const bool old = now - each->second.risen > settings_.retention;
    each = old ? peers_.erase(each) : std::next(each);
  }
}

bool peer_set::alive(const known_peer& known, time_point now) const {
  return !known.about.leaving && now - known.risen <= lifetime();
}

bool peer_set::known_address(const endpoint& address) const {
  if (address == self_.address) {
    return true;
  }
  return std::any_of(peers_.begin(), peers_.end(),
                     [&](const auto& each) { return each.second.about.address == address; });
}

std::size_t peer_set::near_count(time_point now) const {
  return static_cast<std::size_t>(
      std::count_if(peers_.begin(), peers_.end(), [&](const auto& each) {
        return each.second.about.failure_domain == self_.failure_domain && alive(each.second, now);
      }));
}

std::optional<endpoint> peer_set::next_contact(time_point now, random_source& random) {
  ++contacts_;
  std::vector<endpoint> strangers;
  for (const endpoint& seed : seeds_) {
    if (!known_address(seed)) {
      strangers.push_back(seed);
    }
  }
  const bool has_near = near_count(now) >= least_near;
  const bool stay_near = has_near && contacts_ % far_turn != 0;
  std::vector<const known_peer*> usable;
  for (const auto& [vm, known] : peers_) {
    const bool near = known.about.failure_domain == self_.failure_domain;
    const bool fits = !has_near || near == stay_near;
    if (!known.about.leaving && now >= known.avoid_until && fits) {
      usable.push_back(&known);
    }
  }
  const bool try_stranger = usable.empty() || contacts_ % seed_turn == 0;
  if (try_stranger && !strangers.empty()) {
    return strangers[random.below(strangers.size())];
  }
  if (usable.empty()) {
    return std::nullopt;
  }
  // In turn, all VMs of a failure domain would ask the same first ones of the next.
  if (has_near && !stay_near) {
    return usable[random.below(usable.size())]->about.address;
  }
  return next_in_turn(usable);
}

const endpoint& peer_set::next_in_turn(std::span<const known_peer* const> usable) {
  const auto next = std::find_if(usable.begin(), usable.end(), [&](const known_peer* candidate) {
    return candidate->about.vm > last_contact_;
  });
  const known_peer& chosen = next == usable.end() ? *usable.front() : **next;
  last_contact_ = chosen.about.vm;
  return chosen.about.address;
}

std::vector<endpoint> peer_set::peers_to_notify(time_point now, random_source& random) const {
  std::vector<endpoint> near;
  std::vector<endpoint> far;
  for (const auto& [vm, known] : peers_) {
    if (alive(known, now)) {
      const bool is_near = known.about.failure_domain == self_.failure_domain;
      (is_near ? near : far).push_back(known.about.address);
    }
  }
  if (near.size() + far.size() > most_told_all) {
    keep_some(near, most_told_near, random);
    keep_some(far, most_told_far, random);
  }
  near.insert(near.end(), far.begin(), far.end());
  return near;
}

std::size_t peer_set::live_count(time_point now) const {
  const auto living = std::count_if(peers_.begin(), peers_.end(),
                                    [&](const auto& each) { return alive(each.second, now); });
  return static_cast<std::size_t>(living) + 1;
}

peer_changes peer_set::take_changes(time_point now) {
  peer_changes changes;
  for (auto& [vm, known] : peers_) {
    const bool is_alive = alive(known, now);
    if (is_alive != known.shown_alive) {
      (is_alive ? changes.found : changes.lost).push_back(vm);
    }
    known.shown_alive = is_alive;
  }
  return changes;
}

store_position peer_set::rank(time_point now) const {
  store_position rank;
  for (const auto& [vm, known] : peers_) {
    if (known.order < order_ && alive(known, now)) {
      ++rank.in_fleet;
      rank.in_domain += known.about.failure_domain == self_.failure_domain ? 1 : 0;
    }
  }
  return rank;
}

std::map<std::string, server_work, std::less<>> peer_set::total_peer_work(time_point now) const {
  std::map<std::string, server_work, std::less<>> sum;
  std::size_t heard = 0;
  std::size_t living = 0;
  for (const auto& [vm, known] : peers_) {
    living += alive(known, now) ? 1 : 0;
    if (now - known.work_known_at > settings_.work_lifetime) {
      continue;
    }
    ++heard;
    for (const server_work& work : known.about.work) {
      server_work& into = sum[work.server];
      into.server = work.server;
      into.running += work.running;
      into.prefill_tokens += work.prefill_tokens;
      into.sensitive += work.sensitive;
    }
  }
  if (heard > 0 && living > heard) {
    extrapolate(sum, static_cast<double>(living) / static_cast<double>(heard));
  }
  return sum;
}

const peer& peer_set::next_heartbeat(std::vector<server_work> work) {
  self_.work = std::move(work);
  ++self_.heartbeat;
  return self_;
}

std::vector<peer> peer_set::sample_peers(time_point now, random_source& random) const {
  std::vector<const known_peer*> living;
  for (const auto& [vm, known] : peers_) {
    if (now - known.risen <= lifetime()) {
      living.push_back(&known);
    }
  }
  const std::size_t most = settings_.peers_with_work + settings_.peers_without_work;
  const std::size_t count = std::min(living.size(), most);
  std::vector<peer> out;
  out.reserve(count);
  for (std::size_t place = 0; place < count; ++place) {
    std::swap(living[place], living[place + random.below(living.size() - place)]);
    out.push_back(living[place]->about);
    const bool fresh_work = now - living[place]->work_known_at <= settings_.work_lifetime;
    if (place >= settings_.peers_with_work || !fresh_work) {
      out.back().work.clear();
    }
  }
  return out;
}

}  // namespace hawthornnotch::relay
