/// \file
/// What a backend server says of itself in the platform's list.
#ifndef HAWTHORNNOTCH_SERVERS_SERVER_ENTRY_H_
#define HAWTHORNNOTCH_SERVERS_SERVER_ENTRY_H_

#include <cstdint>
#include <string>
#include <vector>

#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/member/fleet.h"

namespace hawthornnotch::servers {

/// One start of a backend server.
struct server_entry {
  std::string id;
  /// Calendar time of the start in milliseconds: tells two starts under one id apart; 0 if unknown.
  std::int64_t start_time_ms = 0;
  std::string service;
  endpoint address;
  std::string failure_domain;
  /// Requests that run side by side.
  std::uint32_t slots = 1;
  /// True once the server says that it leaves.
  bool leaving = false;
  bool operator==(const server_entry&) const = default;
};

/// \returns a hash of the entries, equal on all VMs for equal entries in equal order.
std::uint64_t digest_of(const std::vector<server_entry>& entries);

}  // namespace hawthornnotch::servers

#endif  // HAWTHORNNOTCH_SERVERS_SERVER_ENTRY_H_
