/// \file
/// What entry VMs tell each other: who lives, how new their knowledge is, and what they have sent.
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
#include "hawthornnotch/servers/server_list.h"

namespace hawthornnotch::relay {

/// Work that one entry VM has outstanding at a backend server.
struct server_work {
  std::string server;
  /// Requests sent and not ended.
  std::uint32_t running = 0;
  /// Prompt tokens of requests without a first event yet.
  std::uint64_t prefill_tokens = 0;
  /// How many of the requests are streams whose callers bear only short pauses.
  std::uint32_t sensitive = 0;
};

/// An entry VM, its sign of life and its work.
struct peer {
  std::string vm;
  std::string failure_domain;
  endpoint address;
  /// Differs for each start of the process.
  std::string incarnation;
  /// Rises while the process lives.
  std::uint64_t heartbeat = 0;
  /// True once the process stops.
  bool leaving = false;
  /// What it had outstanding at that heartbeat.
  std::vector<server_work> work;
};

/// How fast streams of one backend server come, as one entry VM has seen it.
struct server_pace {
  std::string server;
  /// Start of the server that was seen, calendar time in milliseconds.
  std::int64_t start_time_ms = 0;
  /// Time between two events when nothing disturbs the stream, and the time that few exceed, in ms.
  double usual_gap_ms = 0;
  double long_gap_ms = 0;
};

/// A backend server whose address another one has taken, though the list still names it.
struct server_absence {
  std::string server;
  /// How much longer it is passed over; the list drops it meanwhile.
  duration remaining;
};

/// One direction of an exchange.
struct exchange_message {
  peer from;
  /// Version of the configuration that the sender has in force; 0 for none.
  std::int64_t config_version = 0;
  /// The newest `confirmation` that this version is the newest: its id, point in the store's
  /// history and age.
  std::uint64_t config_id = 0;
  platform::store_version config_seen;
  duration config_age;
  /// Point in the store's history of the sender's newest reading of the server list; none where the
  /// revision is 0.
  platform::store_version list_version;
  /// Its `list_snapshot::id`.
  std::uint64_t list_id = 0;
  /// Age of that reading when the message was sent.
  duration list_age;
  /// `digest_of` its entries.
  std::uint64_t list_digest = 0;
  /// Some of what the sender has seen itself.
  std::vector<server_pace> paces;
  /// Servers that the sender, or those that told it, found gone.
  std::vector<server_absence> absences;
  /// Servers that told the sender, or those that told it, that they leave.
  std::vector<servers::departure> departures;
  /// Some of the others, as the sender last heard of them.
  std::vector<peer> peers;
  /// The configuration as the platform holds it, where the receiver was seen to lack it.
  std::optional<std::string> config;
  /// The entries of the reading, where the receiver was seen to have others.
  std::optional<std::vector<servers::server_entry>> list;
};

enum class codec_failure : std::uint8_t { malformed };

/// \returns what an entry VM says of itself as JSON.
std::string encode_peer(const peer& about);
result<peer, codec_failure> decode_peer(std::string_view text);

/// \returns the message as JSON.
std::string encode(const exchange_message& message);
/// \returns the message, or `malformed` for anything that `encode` does not write.
result<exchange_message, codec_failure> decode(std::string_view text);

}  // namespace hawthornnotch::relay

#endif  // HAWTHORNNOTCH_RELAY_EXCHANGE_H_
