/// \file
/// What agents tell each other: facts that merge in any order, and loads of which the newest
/// counts.
#ifndef HAWTHORNNOTCH_MEMBER_GOSSIP_H_
#define HAWTHORNNOTCH_MEMBER_GOSSIP_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/base/result.h"
#include "hawthornnotch/config/model.h"
#include "hawthornnotch/member/change_log.h"
#include "hawthornnotch/member/fleet.h"
#include "hawthornnotch/member/load_index.h"

namespace hawthornnotch::member {

/// A backend server and how its incarnation became known.
struct backend_record {
  backend_server server;
  /// Store revision of the operator's announcement, 0 if the server is only listed.
  std::int64_t announced_at = 0;
  bool operator==(const backend_record&) const = default;
};

/// An incarnation that was seen to be replaced or gone; it never comes back.
struct retired_incarnation {
  std::string id;
  std::string incarnation;
  bool operator==(const retired_incarnation&) const = default;
  bool operator<(const retired_incarnation& other) const {
    return std::tie(id, incarnation) < std::tie(other.id, other.incarnation);
  }
};

/// One agent's word that another was not heard of since this heartbeat.
struct suspicion {
  std::string vm;
  std::string by;
  std::uint64_t heartbeat = 0;
  bool operator==(const suspicion&) const = default;
};

/// An entry VM and the heartbeat with which its agent started, 0 if the agent was not heard yet.
/// The higher start counts; an agent starts with its calendar time in milliseconds.
struct vm_record {
  entry_vm vm;
  std::uint64_t start_heartbeat = 0;
  bool operator==(const vm_record&) const = default;
};

/// Models that an engine was seen to have loaded; the newest observation counts.
struct loaded_models {
  std::string backend_server;
  std::string incarnation;
  std::vector<std::string> models;
  /// Calendar time of the observation, milliseconds.
  std::uint64_t observed_at_ms = 0;
  bool operator==(const loaded_models&) const = default;
};

using fact = std::variant<backend_record, retired_incarnation, vm_record, suspicion, loaded_models,
                          workspace_parameters>;

/// Names a fact in the log.
enum class fact_kind : std::uint8_t {
  backend_server,
  retired,
  entry_vm,
  suspicion,
  loaded_models,
  workspace,
};
struct fact_key {
  fact_kind kind = fact_kind::backend_server;
  std::string id;
  /// The incarnation that is retired, or the agent that suspects.
  std::string detail;
  bool operator==(const fact_key&) const = default;
  bool operator<(const fact_key& other) const {
    return std::tie(kind, id, detail) < std::tie(other.kind, other.id, other.detail);
  }
};
using fact_log = change_log<fact_key>;

/// An agent's sign of life; rises with each round and across restarts.
struct heartbeat {
  std::string vm;
  std::uint64_t heartbeat_counter = 0;
  bool operator==(const heartbeat&) const = default;
};

using load = std::variant<heartbeat, load_report, peer_waiting>;

/// Number of buckets that facts are summed up in.
inline constexpr std::size_t digest_buckets = 16;
/// One sum for each bucket; empty where a process sends none.
using digest_list = std::vector<std::uint64_t>;

/// How far a process has applied another's log of facts.
struct log_position {
  /// Which start of the other process the numbers belong to.
  std::string log_id;
  std::uint64_t facts = 0;
};

/// One direction of an exchange: the facts in (after, upto] of the sender's log, and some loads.
struct gossip_message {
  vm_record from;
  std::string log_id;
  std::uint64_t heartbeat_counter = 0;
  /// How far the sender has applied the receiver's log.
  log_position seen;
  log_position after;
  log_position upto;
  /// The newest fact of the sender; `upto.facts` is less where the byte budget cut the message.
  std::uint64_t newest_fact = 0;
  /// True if the sender knows all workspaces there are.
  bool configuration_complete = false;
  /// Sums of the sender's facts, see fact_digest.h; empty towards another failure domain.
  digest_list digests;
  std::vector<fact> facts;
  std::vector<load> loads;
};

}  // namespace hawthornnotch::member

#endif  // HAWTHORNNOTCH_MEMBER_GOSSIP_H_
