/// \file
/// Codec for request and response bodies of etcd v3's JSON gateway and for the VM list; no I/O.
#ifndef HAWTHORNNOTCH_PLATFORM_ETCD_JSON_H_
#define HAWTHORNNOTCH_PLATFORM_ETCD_JSON_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/platform/client.h"
#include "hawthornnotch/platform/vm_list.h"

namespace hawthornnotch::platform {

/// Request bodies.
std::string transaction_body(const transaction& tx);
/// \param end exclusive end of the range; empty to read `key` alone.
std::string range_body(std::string_view key, std::string_view end);
/// \param time_to_live rounded up to whole seconds.
std::string grant_body(duration time_to_live);
std::string lease_id_body(std::int64_t lease);
std::string watch_body(std::string_view prefix, std::int64_t start_revision);

/// Response bodies. Parsers return nullopt if the text does not follow the protocol.
std::optional<transaction_outcome> parse_transaction(std::string_view text);
/// A truncated range (`more`) is rejected, since it would pass for the whole one.
std::optional<read_outcome> parse_range(std::string_view text);
/// \returns the lease id.
std::optional<std::int64_t> parse_grant(std::string_view text);

/// State of a lease as reported by a keep-alive.
struct lease_state {
  std::int64_t id = 0;
  bool alive = false;
};
std::optional<lease_state> parse_keep_alive(std::string_view text);

/// One message of a watch stream.
struct watch_message {
  std::vector<watch_event> events;
  /// The store has cancelled the watch, e.g. because it compacted the watched revision.
  bool cancelled = false;
};
std::optional<watch_message> parse_watch_message(std::string_view line);

/// \param failure_domain whose backend servers are returned; empty for all. Entry VMs are always
/// returned.
/// \returns the listed VMs; nullopt if any entry is malformed or has an unknown role or state.
std::optional<std::vector<listed_vm>> parse_vm_list(std::string_view text,
                                                    std::string_view failure_domain = {});

}  // namespace hawthornnotch::platform

#endif  // HAWTHORNNOTCH_PLATFORM_ETCD_JSON_H_
