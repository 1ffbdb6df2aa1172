/// \file
/// An agent's view of its failure domain, kept in sync with its peers by gossip.
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
  /// Agents to contact while no peer is known, and periodically while no known VM has their
  /// address.
  std::vector<endpoint> seeds;
  /// Live peers of the failure domain contacted in each round.
  std::size_t fanout = 2;
  /// Rounds between two exchanges with another failure domain.
  std::uint64_t remote_interval = 5;
  /// Byte budgets of one message: for facts, which are sent only when they change, and for loads,
  /// which are sent continuously.
  std::size_t fact_bytes = 8 * 1024;
  std::size_t load_bytes = 1'500;
  /// Agents of the failure domain that hold watches on the platform.
  std::size_t watchers = 2;
  /// Agents that poll each backend server.
  std::size_t pollers = 2;
  /// Load reports and counts of waiting requests older than this are ignored.
  duration load_max_age{30'000};
  std::size_t max_workspaces = 2048;
};

/// An agent to contact.
struct peer_contact {
  /// Empty for a seed whose id is not known yet.
  std::string id;
  endpoint agent;
  bool same_failure_domain = true;
};

/// Merges the platform's list, operators' announcements and peers' messages.  Merging is
/// commutative and idempotent: messages may be reordered, repeated, delayed or lost.
///
/// Facts are sent until the peer acknowledges them; loads are sent round-robin without
/// acknowledgement.  After a failed exchange the next one sends the unacknowledged facts again.
/// Tables are bounded: entries beyond the limits in the settings are dropped.
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

  /// Applies a complete snapshot of the platform's list; one without backend servers counts as an
  /// outage and changes none.
  void apply_list(const std::vector<fleet_vm>& listed);
  /// Applies an operator's announcement.
  /// \param revision store revision of the announcement's key.
  void apply_announcement(const fleet_vm& announced, std::int64_t revision);
  void apply_report(const load_report& report);
  void apply_models(const loaded_models& seen);
  /// Applies the number of requests waiting at this VM's router.
  void apply_waiting(const std::uint32_t (&by_tier)[tier_count]);
  /// Applies workspaces read from the platform.
  /// \param complete true if the table contains all existing workspaces.
  void apply_workspaces(const workspace_table& table, bool complete);

  /// Starts a round; call once per round, before `choose_peers`.
  void begin_round();
  /// \returns the peers to exchange with in this round: live peers, a few silent ones, and
  /// periodically seeds and an agent of another failure domain.
  [[nodiscard]] std::vector<peer_contact> choose_peers(random_source& random);
  [[nodiscard]] gossip_message message_for(const peer_contact& peer);
  /// Merges a peer's message.
  /// \returns the answer.
  [[nodiscard]] gossip_message receive(const gossip_message& message);
  /// Merges a peer's answer to `message_for`.
  void receive_answer(const peer_contact& peer, const gossip_message& answer);
  /// Records a failed exchange, which counts towards suspicion of the peer.
  void exchange_failed(const peer_contact& peer);
  /// Marks this VM as leaving; peers learn it with the next exchange.
  void leave() { peers_.leave(); }
  /// Reverts `leave`: this VM takes its share again, as after a restart.
  void rejoin() { peers_.rejoin(); }

  /// Increases with every change of `snapshot` or `workspaces`.
  [[nodiscard]] std::uint64_t version() const { return facts_.version() + load_changes_; }
  /// Increases with every change of facts, but not of loads.
  [[nodiscard]] std::uint64_t fact_version() const { return facts_.version(); }
  [[nodiscard]] fleet_snapshot snapshot() const;
  [[nodiscard]] const workspace_table& workspaces() const { return workspaces_; }
  /// True once all existing workspaces were received from the platform or a peer.
  [[nodiscard]] bool configuration_complete() const { return complete_; }

  /// Whether this agent is one of those that hold watches on the platform.
  [[nodiscard]] bool watches_platform() const;
  /// Whether this agent is one of those that may acquire the failure domain's lease.
  [[nodiscard]] bool lease_candidate() const;
  /// Whether this agent polls the load of that backend server.
  [[nodiscard]] bool polls(std::string_view backend_server) const;

  [[nodiscard]] const peer_table& peers() const { return peers_; }
  [[nodiscard]] const backend_table& backends() const { return backends_; }
  /// \returns the models last observed on a server's current incarnation, or null.
  [[nodiscard]] const loaded_models* models_of(const std::string& backend_server) const;

 private:
  // State of the exchange with one peer.
  struct peer_progress {
    std::string log_id;
    log_position acknowledged;
    log_position seen;
    /// The digests in the peer's last message.
    digest_list digests;
    /// The last load of each kind that was sent.
    std::string last_heartbeat;
    std::string last_report;
  };
  struct timed_waiting {
    peer_waiting waiting;
    time_point received_at;
  };

  membership(const entry_vm& self, std::string log_id, membership_settings settings,
             const clock& time);

  void apply_message(const gossip_message& message);
  void merge(const fact& incoming, std::string_view origin);
  void merge(const load& incoming, std::string_view origin);
  void merge_workspace(const workspace_parameters& incoming, std::string_view origin);
  void merge_report(const load_report& incoming, std::string_view origin);
  void merge_waiting(const peer_waiting& incoming, std::string_view origin);
  void merge_models(const loaded_models& incoming, std::string_view origin);
  void update_remote_contact(const entry_vm& vm);
  void drop_unknown();
  gossip_message compose(const std::string& peer, bool same_failure_domain);
  void refresh_digests();
  // Whether the peer's digests show that it already has a change.
  [[nodiscard]] bool peer_knows(const peer_progress& known, const fact_log::change& change) const;
  void add_facts(gossip_message& message, const std::string& peer, const peer_progress& known,
                 bool same_failure_domain) const;
  void add_loads(gossip_message& message, const std::string& peer, peer_progress& known) const;
  void add_round_robin(gossip_message& message, const std::string& peer, load_kind kind,
                       std::size_t budget, std::string& last) const;
  [[nodiscard]] std::optional<fact> fact_of(const fact_key& key) const;
  [[nodiscard]] std::optional<load> load_of(const load_key& key) const;
  void add_peers(std::vector<peer_contact>& chosen, random_source& random) const;
  void add_seeds(std::vector<peer_contact>& chosen) const;
  void add_remote(std::vector<peer_contact>& chosen, random_source& random) const;
  [[nodiscard]] bool ranks_among_first(std::string_view task, std::size_t count) const;

  std::string log_id_;
  membership_settings settings_;
  const clock& time_;
  fact_log facts_;
  // Digests of the facts up to `digested_version_`.
  fact_digests digests_;
  std::uint64_t digested_version_ = 0;
  load_index loads_;
  peer_table peers_;
  backend_table backends_;
  workspace_table workspaces_;
  std::map<std::string, loaded_models> models_;
  std::map<std::string, load_report> reports_;
  std::map<std::string, timed_waiting> waiting_;
  std::map<std::string, entry_vm> remote_contacts_;
  std::map<std::string, peer_progress> progress_by_peer_;
  std::uint64_t load_changes_ = 0;
  std::uint64_t round_ = 0;
  bool complete_ = false;
};

}  // namespace hawthornnotch::member

#endif  // HAWTHORNNOTCH_MEMBER_MEMBERSHIP_H_
