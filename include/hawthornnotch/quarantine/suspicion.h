/// \file
/// What entry VMs know of the parts of requests that may crash backend servers.
#ifndef HAWTHORNNOTCH_QUARANTINE_SUSPICION_H_
#define HAWTHORNNOTCH_QUARANTINE_SUSPICION_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/base/digest.h"

namespace hawthornnotch::quarantine {

/// What may crash servers.
enum class suspect_kind : std::uint8_t {
  /// One prompt part at one service, whatever else a request holds.
  prompt_part,
  /// One request, each time that its caller sends it.
  request,
};

/// Identifies one prompt part or one request.
struct fingerprint {
  suspect_kind kind = suspect_kind::prompt_part;
  digest128 digest;
  constexpr bool operator==(const fingerprint&) const = default;
  constexpr bool operator<(const fingerprint& other) const {
    return kind != other.kind ? kind < other.kind : digest < other.digest;
  }
};

/// The end of one incarnation of a backend server.
struct crash {
  /// Hash of the server's id and start time; short, since it has to tell apart only the servers
  /// that crashed lately.
  std::uint32_t server = 0;
  /// When an entry VM noticed it, on the fleet clock.
  time_point at;
  constexpr bool operator==(const crash&) const = default;
};

/// The evidence for and against one fingerprint, as gossiped between entry VMs.
struct suspicion {
  fingerprint what;
  /// Greatest position at which a request carried it.  What is carried later is more specific: the
  /// parts of a prompt come in order, the request as a whole comes last.
  std::uint32_t position = 0;
  /// Crashes of servers at which a request with it had no first event yet, in order of time: the
  /// newest ones, and at most a few of those that happened together.
  std::vector<crash> crashes;
  /// When a server last began to answer a request with it; none if no entry VM remembers one.
  std::optional<time_point> last_success;
  /// When a request with it last arrived at an entry VM.
  time_point last_seen;
};

}  // namespace hawthornnotch::quarantine

#endif  // HAWTHORNNOTCH_QUARANTINE_SUSPICION_H_
