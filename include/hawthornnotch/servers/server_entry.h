/// \file
/// A backend server's entry in the platform's server list.
#ifndef HAWTHORNNOTCH_SERVERS_SERVER_ENTRY_H_
#define HAWTHORNNOTCH_SERVERS_SERVER_ENTRY_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/member/fleet.h"

namespace hawthornnotch::servers {

/// One incarnation of a backend server.
struct server_entry {
  std::string id;
  /// Start time, Unix time in milliseconds; identifies the incarnation of an id; 0 if unknown.
  std::int64_t start_time_ms = 0;
  std::string service;
  /// Version of its software; empty if unknown.
  std::string software_version;
  endpoint address;
  std::string failure_domain;
  /// Requests that the server runs concurrently.
  std::uint32_t slots = 1;
  /// True once the server has announced that it is leaving.
  bool leaving = false;
  /// True if it costs less and the platform may reclaim it.
  bool preemptible = false;
  /// Time until the platform reclaims it, as written in its entry; none if it is not reclaimed.
  std::optional<duration> leaves_in = std::nullopt;
  bool operator==(const server_entry&) const = default;
};

/// \returns a hash of the entries, less what VMs of an earlier release do not know: their software
/// versions and kinds, which an incarnation never changes, and the time until they are reclaimed,
/// which is set as they leave.  VMs with equal entries in the same order compute the same value.
std::uint64_t digest_of(const std::vector<server_entry>& entries);

}  // namespace hawthornnotch::servers

#endif  // HAWTHORNNOTCH_SERVERS_SERVER_ENTRY_H_
