/// \file
/// The other entry VMs: who lives, whom to exchange with next, and who reads the store.
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
#include "hawthornnotch/relay/reading_schedule.h"

namespace hawthornnotch::relay {

struct peer_set_settings {
  /// A peer whose heartbeat has not risen for this long counts as dead; for this long for each
  /// known peer where that is more, since a message passes on a bounded number of heartbeats.
  duration lifetime{4'000};
  duration lifetime_by_peer{30};
  /// A peer that is dead for this long is forgotten.
  duration retention{60'000};
  /// Peers passed on in one message together with their work, and further ones without.
  std::size_t peers_with_work = 12;
  std::size_t peers_without_work = 36;
  /// Work that was heard of longer ago is not counted.
  duration work_lifetime{3'000};
};

/// Peers that came to life or died since the last look.
struct peer_changes {
  std::vector<std::string> found;
  std::vector<std::string> lost;
};

/// Merges what peers say of themselves and of each other.  The load pattern it answers: VMs that
/// are killed, replaced and cut off at any time, also all at once.
///
/// Life is told apart from work: the signs of life of many peers fit into a message, so that no VM
/// of a large fleet is taken for dead, while work, which takes more room, is told of fewer.
///
/// Example:
///     peer_set peers(self, {seed}, {}, clock.now());
///     if (auto next = peers.next_contact(clock.now(), random)) { exchange(*next); }
/// Ownership: a value.  Thread safety: none.
class peer_set {
 public:
  /// \param seeds addresses to ask where no peer is known.
  peer_set(peer self, std::vector<endpoint> seeds, peer_set_settings settings);

  /// A message heard from a peer, in either direction.
  void heard(const exchange_message& message, time_point now);
  /// A peer's entry in the platform's store.
  void merge_store_entry(const peer& about, time_point now) { learn(about, false, now); }
  /// An exchange with this address failed.
  void contact_failed(const endpoint& address, time_point now);
  /// This process leaves; peers are told with the next exchange.
  void leave() { self_.leaving = true; }
  /// Replaces the seeds, e.g. when the settings changed.
  void set_seeds(std::vector<endpoint> seeds) { seeds_ = std::move(seeds); }

  /// \returns whom to exchange with next: each live peer in turn, now and then a seed that is not
  /// known as a peer; none where there is nobody.
  [[nodiscard]] std::optional<endpoint> next_contact(time_point now, random_source& random);
  /// \returns whom to tell at once of a change, drawn anew each time, since each peer that hears of
  /// it tells others in turn: all live peers of a small fleet, else some of the own failure domain
  /// and fewer of the others, because bytes between failure domains are dear.
  [[nodiscard]] std::vector<endpoint> peers_to_notify(time_point now, random_source& random) const;
  /// \returns live entry VMs, this one included; never 0.
  [[nodiscard]] std::size_t live_count(time_point now) const;
  /// \returns what changed since the last call.
  [[nodiscard]] peer_changes take_changes(time_point now);
  /// \returns the place of this entry VM in the order in which the live ones call the store.
  [[nodiscard]] store_position rank(time_point now) const;
  /// \returns the sum of what live peers were last heard to have outstanding, by server.
  [[nodiscard]] std::map<std::string, server_work, std::less<>> total_peer_work(
      time_point now) const;
  /// What this process says of itself, with a new heartbeat.
  /// \param work what it has outstanding.
  [[nodiscard]] const peer& next_heartbeat(std::vector<server_work> work);
  [[nodiscard]] const peer& self() const { return self_; }
  /// \returns live peers drawn at random, to pass on, the first of them with their work.
  [[nodiscard]] std::vector<peer> sample_peers(time_point now, random_source& random) const;

 private:
  struct known_peer {
    peer about;
    /// Place among all in the order in which they call the store.
    std::uint64_t order = 0;
    time_point risen;
    /// When its work was last heard of.
    time_point work_known_at;
    time_point avoid_until;
    /// As last given by `take_changes`.
    bool shown_alive = false;
  };

  known_peer* learn(const peer& about, bool first_hand, time_point now);
  static void renew(known_peer& known, const peer& about, bool first_hand, time_point now);
  /// \returns how long a peer may be silent before it counts as dead.
  [[nodiscard]] duration lifetime() const;
  [[nodiscard]] const endpoint& next_in_turn(std::span<const known_peer* const> usable);
  void forget_old(time_point now);
  [[nodiscard]] bool alive(const known_peer& known, time_point now) const;
  [[nodiscard]] std::size_t near_count(time_point now) const;
  [[nodiscard]] bool known_address(const endpoint& address) const;

  peer self_;
  std::vector<endpoint> seeds_;
  peer_set_settings settings_;
  std::uint64_t order_;
  std::map<std::string, known_peer, std::less<>> peers_;
  std::string last_contact_;
  std::uint64_t contacts_ = 0;
};

}  // namespace hawthornnotch::relay

#endif  // HAWTHORNNOTCH_RELAY_PEER_SET_H_
