/// \file
/// The other entry VMs: which are alive, which to contact next, and the order of store readers.
#ifndef HAWTHORNNOTCH_RELAY_PEER_SET_H_
#define HAWTHORNNOTCH_RELAY_PEER_SET_H_

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/base/random.h"
#include "hawthornnotch/relay/exchange.h"
#include "hawthornnotch/relay/member_census.h"
#include "hawthornnotch/relay/reading_schedule.h"

namespace hawthornnotch::relay {

struct peer_set_settings {
  /// Failure domains that have entry VMs; empty if unknown.
  std::vector<std::string> failure_domains;
  /// A peer whose heartbeat has not increased for this long counts as dead.  In a large fleet the
  /// timeout is the value per known peer times their number, since a message carries a bounded
  /// number of heartbeats.
  duration heartbeat_timeout{4'000};
  duration heartbeat_timeout_per_peer{30};
  /// A peer whose heartbeat has not increased for this long is removed.
  duration retention{60'000};
  /// Peers forwarded in one message with their work, and further ones without it.
  std::size_t peers_with_work = 12;
  std::size_t peers_without_work = 36;
  /// Work reports older than this are ignored.
  duration work_max_age{3'000};
};

/// VMs that are told of something under one key.
struct keeper_set {
  /// The keepers other than this VM.
  std::vector<endpoint> peers;
  bool includes_this_vm = false;
  [[nodiscard]] std::size_t size() const { return peers.size() + (includes_this_vm ? 1 : 0); }
};

/// Peers that became alive or dead since the last call of `take_changes`.
struct peer_changes {
  std::vector<std::string> found;
  std::vector<std::string> lost;
};

/// Gossip membership of the entry VMs: merges what peers report about themselves and each other.
/// Handles VMs that are killed, replaced or partitioned at any time, also all at once.
///
/// A peer is alive while its heartbeat increases and it is not leaving.  A partitioned peer counts
/// as dead after the heartbeat timeout and as alive again with its next heartbeat.
///
/// Heartbeats and work are forwarded separately: the heartbeats of many peers fit into one message,
/// so that no VM of a large fleet is falsely considered dead; work takes more space and is
/// forwarded for fewer peers.
///
/// Example:
///     peer_set peers(self, {seed}, {});
///     if (auto next = peers.next_contact(clock.now(), random)) { exchange(*next); }
/// Ownership: a value.  Thread safety: none.
class peer_set {
 public:
  /// \param seeds addresses to contact while no peer is known.
  peer_set(peer self, std::vector<endpoint> seeds, peer_set_settings settings);

  /// Merges a peer's request or answer.
  void merge_message(const exchange_message& message, time_point now);
  /// Merges a peer's entry in the platform's store.
  void merge_store_entry(const peer& about, time_point now) { merge_peer(about, false, now); }
  /// Records that an exchange with this address failed; the peer is skipped for a while.
  void contact_failed(const endpoint& address, time_point now);
  /// Sets the address at which peers reach this process, once its port is known.
  void set_own_address(endpoint address) { self_.address = std::move(address); }
  /// Marks this process as leaving; peers learn it with the next exchange.
  void leave() { self_.leaving = true; }
  /// Replaces the seeds, e.g. after a reload of the settings.
  void set_seeds(std::vector<endpoint> seeds) { seeds_ = std::move(seeds); }

  /// \returns the address to exchange with next: peers in round-robin order, and periodically a
  /// seed that is not known as a peer; nothing if there is neither.
  [[nodiscard]] std::optional<endpoint> next_contact(time_point now, random_source& random);
  /// \returns the peers to notify of a change at once: all live peers of a small fleet, otherwise a
  /// random sample of the own failure domain and a smaller one of the others, because traffic
  /// between failure domains is expensive.  Each notified peer notifies others in turn.
  [[nodiscard]] std::vector<endpoint> peers_to_notify(time_point now, random_source& random) const;
  /// \returns the addresses of the other live entry VMs.
  [[nodiscard]] std::vector<endpoint> live_addresses(time_point now) const;
  /// \returns the number of live entry VMs, this one included; never 0.
  [[nodiscard]] std::size_t live_count(time_point now) const;
  /// \returns the number of entry VMs that may share a quota, this one, dead ones and those that
  /// are cut off included; 0 while this process has heard of none although it has seeds.
  [[nodiscard]] std::size_t member_count() const;
  /// \returns the hashes of the names of all other entry VMs that are remembered, dead ones
  /// included: a dead VM cannot be told from one that is cut off and still sends requests.
  [[nodiscard]] std::vector<std::uint64_t> known_hashes() const;
  /// \returns whether all remembered peers, dead ones included, declare the versions of their
  /// streams (`peer::declares_versions`).
  [[nodiscard]] bool all_declare_versions() const;
  /// \returns the number of entry VMs that are remembered, dead ones and this one included.
  [[nodiscard]] std::size_t remembered_count() const { return peers_.size() + 1; }
  /// \returns whether any other entry VM is remembered.
  [[nodiscard]] bool knows_others() const { return !peers_.empty(); }
  /// \returns the address of a remembered peer, which may be dead; none if it is not known.
  [[nodiscard]] std::optional<endpoint> address_of(std::string_view vm) const;
  /// \returns when a peer was last found ended, restarted, leaving or out of reach, by
  /// `take_changes` or an exchange: its callers may have come to this VM; none so far.
  [[nodiscard]] std::optional<time_point> disrupted_at() const { return disrupted_at_; }
  /// \returns the first `count` of all remembered VMs in the rendezvous order of `key`; all VMs
  /// with the same peers compute the same order.
  [[nodiscard]] keeper_set keepers_of(std::uint64_t key, std::size_t count) const;
  /// \returns the peers that became alive or dead since the last call.
  [[nodiscard]] peer_changes take_changes(time_point now);
  /// \returns the rank of this entry VM in the order in which live VMs read the store.
  [[nodiscard]] store_rank rank(time_point now) const;
  /// \returns false if a failure domain has, or lately had, entry VMs and none is heard from.
  [[nodiscard]] bool reaches(std::string_view failure_domain, time_point now) const;
  /// \returns the outstanding work of all peers by server, summed over recent reports and
  /// extrapolated to live peers without one.
  [[nodiscard]] std::map<std::string, server_work, std::less<>> total_peer_work(
      time_point now) const;
  /// Increments the own heartbeat.
  /// \param work outstanding work of this process.
  /// \returns the state of this process to send to peers.
  [[nodiscard]] const peer& next_heartbeat(std::vector<server_work> work);
  [[nodiscard]] const peer& self() const { return self_; }
  /// \returns a random sample of peers with a current heartbeat to forward, leaving ones included;
  /// the first of them with their work.
  [[nodiscard]] std::vector<peer> sample_peers(time_point now, random_source& random) const;

 private:
  struct known_peer {
    peer about;
    /// Hash of the VM's name; defines the order in which VMs read the store.
    std::uint64_t hash_order = 0;
    /// When the heartbeat last increased.
    time_point heartbeat_at;
    /// When its work was last reported.
    time_point work_at;
    time_point skip_until;
    /// State last reported by `take_changes`.
    bool reported_alive = false;
  };

  /// \param direct whether the peer itself sent it.
  known_peer* merge_peer(const peer& about, bool direct, time_point now);
  void update_peer(known_peer& known, const peer& about, bool direct, time_point now);
  /// \returns how long a heartbeat may stand still before the peer counts as dead.
  [[nodiscard]] duration heartbeat_timeout() const;
  [[nodiscard]] const endpoint& next_round_robin(std::span<const known_peer* const> candidates);
  void erase_expired(time_point now);
  [[nodiscard]] bool alive(const known_peer& known, time_point now) const;
  [[nodiscard]] std::size_t live_local_count(time_point now) const;
  [[nodiscard]] bool is_known_address(const endpoint& address) const;

  peer self_;
  std::vector<endpoint> seeds_;
  peer_set_settings settings_;
  std::uint64_t hash_order_;
  std::map<std::string, known_peer, std::less<>> peers_;
  std::string last_contact_;
  std::uint64_t contacts_ = 0;
  std::optional<time_point> disrupted_at_;
  member_census members_;
};

}  // namespace hawthornnotch::relay

#endif  // HAWTHORNNOTCH_RELAY_PEER_SET_H_
