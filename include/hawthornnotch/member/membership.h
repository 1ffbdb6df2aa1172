/// \file
/// All that an agent knows of its failure domain, and what it tells its peers.
#ifndef HAWTHORNNOTCH_MEMBER_MEMBERSHIP_H_
#define HAWTHORNNOTCH_MEMBER_MEMBERSHIP_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/base/random.h"
#include "hawthornnotch/member/backend_table.h"
#include "hawthornnotch/member/fact_digest.h"
#include "hawthornnotch/member/fleet_codec.h"
#include "hawthornnotch/member/gossip.h"
#include "hawthornnotch/member/peer_table.h"

namespace hawthornnotch::member {

struct membership_settings {
  backend_table_settings backends;
  peer_table_settings peers;
  /// Agents to ask first, for as long as no other is known.
  std::vector<endpoint> seeds;
  /// Live peers of the failure domain that each round exchanges with.
  std::size_t fanout = 2;
  /// Rounds between two exchanges with another failure domain.
  std::uint64_t remote_every = 5;
  /// Byte budget of one message's facts, which are few, and of its loads, which never end.
  std::size_t fact_bytes = 8 * 1024;
  std::size_t load_bytes = 1'500;
  /// Agents of the failure domain that hold the platform's watches.
  std::size_t watchers = 2;
  /// Agents that poll each backend server.
  std::size_t pollers = 2;
  /// Reports and counts older than this are not handed on.
  duration load_lifetime{30'000};
  std::size_t workspaces = 2048;
};

/// An agent to exchange with.
struct peer_contact {
  /// Empty for a seed whose id is not known yet.
  std::string id;
  endpoint agent;
  bool same_failure_domain = true;
};

/// Merges the platform's list, operators' announcements and peers' messages.  Every merge gives the
/// same end in any order, and anything may be repeated, lost or late.
///
/// Example:
///     auto members = membership::create(self, make_incarnation(), {}, time);
///     members->begin_round();
///     for (const auto& peer : members->choose_peers(random)) {
///       send(peer, members->message_for(peer));   // the answer goes to receive_answer
///     }
/// Ownership: refers to the clock.  Thread safety: none.
class membership {
 public:
  /// \param log_id differs for each start of the process.
  [[nodiscard]] static std::unique_ptr<membership> create(const entry_vm& self, std::string log_id,
                                                          membership_settings settings,
                                                          const clock& time);

  /// One whole, successful reading of the platform's list; an empty one counts as an outage.
  void apply_list(const std::vector<fleet_vm>& listed);
  /// \param revision store revision of the announcement's key.
  void apply_announcement(const fleet_vm& announced, std::int64_t revision);
  void apply_report(const load_report& report);
  void apply_models(const loaded_models& seen);
  /// Requests waiting at this VM's router.
  void apply_waiting(const std::uint32_t (&by_tier)[tier_count]);
  /// \param complete true if the table holds every workspace there is.
  void apply_workspaces(const workspace_table& table, bool complete);

  /// Once a round, before `choose_peers`.
  void begin_round();
  [[nodiscard]] std::vector<peer_contact> choose_peers(random_source& random);
  [[nodiscard]] gossip_message message_for(const peer_contact& peer);
  /// A peer's message.  \returns the answer.
  [[nodiscard]] gossip_message receive(const gossip_message& message);
  /// A peer's answer to `message_for`.
  void receive_answer(const peer_contact& peer, const gossip_message& answer);
  void exchange_failed(const peer_contact& peer);
  /// This VM leaves; peers are told with the next exchange.
  void leave() { peers_.leave(); }
  /// This VM shares again after `leave`, as a new start.
  void rejoin() { peers_.rejoin(); }

  /// Rises with every change of `snapshot` or `workspaces`.
  [[nodiscard]] std::uint64_t version() const { return facts_.version() + load_changes_; }
  /// Rises with every change but those of loads.
  [[nodiscard]] std::uint64_t fact_version() const { return facts_.version(); }
  [[nodiscard]] fleet_snapshot snapshot() const;
  [[nodiscard]] const workspace_table& workspaces() const { return workspaces_; }
  /// True once every workspace there is was learned from the platform or from a peer.
  [[nodiscard]] bool configuration_complete() const { return complete_; }

  /// Whether this agent is among the few that hold the platform's watches.
  [[nodiscard]] bool watches_platform() const;
  /// Whether this agent is among the few that may take the failure domain's lease.
  [[nodiscard]] bool lease_candidate() const;
  /// Whether this agent polls that backend server's load.
  [[nodiscard]] bool polls(std::string_view backend_server) const;

  [[nodiscard]] const peer_table& peers() const { return peers_; }
  [[nodiscard]] const backend_table& backends() const { return backends_; }
  /// \returns the newest models seen on a server's present incarnation, or null.
  [[nodiscard]] const loaded_models* models_of(const std::string& backend_server) const;

 private:
  // How far the exchange with one peer has come.
  struct progress {
    std::string log_id;
    log_position acknowledged;
    log_position seen;
    /// The peer's sums in its last message.
    digest_list digests;
    /// The last of each kind that went into a message.
    std::string last_heartbeat;
    std::string last_report;
  };
  struct remembered_waiting {
    peer_waiting waiting;
    time_point heard;
  };

  membership(const entry_vm& self, std::string log_id, membership_settings settings,
             const clock& time);

  void take(const gossip_message& message);
  void merge(const fact& incoming, std::string_view origin);
  void merge(const load& incoming, std::string_view origin);
  void merge_workspace(const workspace_parameters& incoming, std::string_view origin);
  void merge_report(const load_report& incoming, std::string_view origin);
  void merge_waiting(const peer_waiting& incoming, std::string_view origin);
  void merge_models(const loaded_models& incoming, std::string_view origin);
  void remember_remote(const entry_vm& vm);
  void drop_loads_of_unknown();
  gossip_message compose(const std::string& peer, bool same_failure_domain);
  void refresh_digests();
  // Whether the peer is known to have a change without having been told.
  [[nodiscard]] bool peer_has(const progress& known, const fact_log::change& change) const;
  void add_facts(gossip_message& message, const std::string& peer, const progress& known,
                 bool same_failure_domain) const;
  void add_loads(gossip_message& message, const std::string& peer, progress& known) const;
  void add_in_turn(gossip_message& message, const std::string& peer, load_kind kind,
                   std::size_t budget, std::string& last) const;
  [[nodiscard]] std::optional<fact> fact_of(const fact_key& key) const;
  [[nodiscard]] std::optional<load> load_of(const load_key& key) const;
  void add_peers(std::vector<peer_contact>& chosen, random_source& random) const;
  void add_seeds(std::vector<peer_contact>& chosen) const;
  void add_remote(std::vector<peer_contact>& chosen, random_source& random) const;
  [[nodiscard]] bool among_first(std::string_view task, std::size_t count) const;

  std::string log_id_;
  membership_settings settings_;
  const clock& time_;
  fact_log facts_;
  // Sums of the facts up to `digested_`.
  fact_digests digests_;
  std::uint64_t digested_ = 0;
  load_index loads_;
  peer_table peers_;
  backend_table backends_;
  workspace_table workspaces_;
  std::map<std::string, loaded_models> models_;
  std::map<std::string, load_report> reports_;
  std::map<std::string, remembered_waiting> waiting_;
  std::map<std::string, entry_vm> remote_;
  std::map<std::string, progress> progress_;
  std::uint64_t load_changes_ = 0;
  std::uint64_t round_ = 0;
  bool complete_ = false;
};

}  // namespace hawthornnotch::member

#endif  // HAWTHORNNOTCH_MEMBER_MEMBERSHIP_H_
