/// \file
/// Messages that entry VMs exchange: liveness, freshness of their data, and outstanding work.
#ifndef HAWTHORNNOTCH_RELAY_EXCHANGE_H_
#define HAWTHORNNOTCH_RELAY_EXCHANGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/base/result.h"
#include "hawthornnotch/member/fleet.h"
#include "hawthornnotch/quarantine/suspicion.h"
#include "hawthornnotch/replication/record.h"
#include "hawthornnotch/servers/rate_limit.h"
#include "hawthornnotch/servers/server_list.h"

namespace hawthornnotch::relay {

/// Outstanding work of one entry VM at a backend server.
struct server_work {
  std::string server;
  /// Requests in flight.
  std::uint32_t running = 0;
  /// Prompt tokens of requests that have not produced a first event yet.
  std::uint64_t prefill_tokens = 0;
  /// Streams among them whose clients tolerate only short pauses.
  std::uint32_t sensitive = 0;
};

/// State of an entry VM: identity, heartbeat and outstanding work.
struct peer {
  std::string vm;
  std::string failure_domain;
  endpoint address;
  /// Differs for each start of the process.
  std::string incarnation;
  /// Heartbeat counter; increases for as long as the process is alive.
  std::uint64_t heartbeat = 0;
  /// True once the process is shutting down.
  bool leaving = false;
  /// True if the VM declares in the store that versions are mixed before its first stream at a
  /// second one, see `streams::version_declaration`.  Only peers that announce that they understand
  /// it may be sent it.
  bool declares_versions = false;
  /// Outstanding work at that heartbeat.
  std::vector<server_work> work;
};

/// Streaming speed of a backend server as measured by one entry VM.
struct server_pace {
  std::string server;
  /// Start time of the measured server process, wall clock in milliseconds.
  std::int64_t start_time_ms = 0;
  /// Usual time between two events of an undisturbed stream, and an upper percentile of it, in ms.
  double usual_gap_ms = 0;
  double long_gap_ms = 0;
};

/// A backend server that is still listed although another server answers at its address.
struct server_absence {
  std::string server;
  /// How much longer it is excluded; the list is expected to drop it within that time.
  duration remaining;
};

/// One direction of an exchange.
struct exchange_message {
  peer from;
  /// Version of the configuration that the sender has in force; 0 for none.
  std::int64_t config_version = 0;
  /// Newest `confirmation` of this version: its id, store version and age.
  std::uint64_t config_id = 0;
  platform::store_version config_seen;
  duration config_age;
  /// Store version of the sender's newest read of the server list; a revision of 0 means none.
  platform::store_version list_version;
  /// `list_snapshot::id` of that read.
  std::uint64_t list_id = 0;
  /// Age of that read when the message was sent.
  duration list_age;
  /// `digest_of` the entries of that read.
  std::uint64_t list_digest = 0;
  /// A sample of the sender's own measurements.
  std::vector<server_pace> paces;
  /// Servers found absent by the sender or by the peers it heard from.
  std::vector<server_absence> absences;
  /// Servers that announced to the sender, or to the peers it heard from, that they are leaving.
  std::vector<servers::departure> departures;
  /// The sender's reading of the fleet clock; 0 if it does not send one.
  time_point fleet_time;
  /// A sample of the limits that servers name, and of those that have ended.
  std::vector<servers::rate_limit> limits;
  /// A sample of what the sender knows of prompt parts and requests that may crash servers.
  std::vector<quarantine::suspicion> suspicions;
  /// New records of the sender and of the peers it heard from.
  std::vector<replication::record> records;
  /// True while the sender has just started and asks for the records that others know.
  bool records_wanted = false;
  /// A sample of the other entry VMs, in the sender's last known state.
  std::vector<peer> peers;
  /// Configuration in the platform's format; set if the receiver is known to have an older one.
  std::optional<std::string> config;
  /// Entries of the server list; set if the receiver is known to have different ones.
  std::optional<std::vector<servers::server_entry>> list;
};

enum class codec_failure : std::uint8_t { malformed };

/// \returns the state of an entry VM as JSON.
std::string encode_peer(const peer& about);
/// \returns the state, or `malformed` for anything that `encode_peer` does not write.
result<peer, codec_failure> decode_peer(std::string_view text);

/// \returns the message as JSON.
std::string encode(const exchange_message& message);
/// \returns the message, or `malformed` for anything that `encode` does not write.
result<exchange_message, codec_failure> decode(std::string_view text);

}  // namespace hawthornnotch::relay

#endif  // HAWTHORNNOTCH_RELAY_EXCHANGE_H_
