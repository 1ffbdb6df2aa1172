// Reserves servers for gap-sensitive streams.
#ifndef HAWTHORNNOTCH_SRC_DISPATCH_STREAM_RESERVE_H_
#define HAWTHORNNOTCH_SRC_DISPATCH_STREAM_RESERVE_H_

#include <cstddef>
#include <span>

#include "candidate.h"

namespace hawthornnotch::dispatch::internal {

// What the size of the reserve depends on.
struct fleet_load {
  // Gap-sensitive streams running in the fleet.
  double streams = 0;
  // Mean time that a server needs to prefill its waiting prompts, in ms.
  double waiting_ms = 0;
};

// Marks the candidates that are reserved for gap-sensitive streams.
//
// An engine prefills prompts in chunks between the tokens of all its running streams, so a stream
// with a short target gap is late beside any long prompt.  The reserve separates the two when many
// of both run at once.  All entry VMs reserve the same servers: the first ones that are neither
// avoided nor slow, ordered by a hash of their ids; their number follows from the load of the
// fleet.  None are reserved while prompts wait long, because prefill then needs all servers.
// \returns the number of reserved servers.
std::size_t reserve_for_streams(std::span<candidate> candidates, const fleet_load& load);

// What the size of the reserve depends on where servers share their machines.
struct stream_demand {
  // Gap-sensitive streams to reserve servers for.
  double planned = 0;
  // Such streams have arrived lately.
  bool arrive = false;
};

// Marks the reserved candidates of a service whose servers share their machines.
//
// The reserve follows the streams alone, so that they are also kept apart from a burst of prompts,
// and has a floor for the first streams of a burst.  A server's speed changes within a few hundred
// ms and is known to each VM at another time, so slow servers stay members; all VMs must reserve
// nearly the same ones.  The next servers in the order are marked as beside the reserve.
// \returns the number of reserved servers.
std::size_t reserve_beside_prompts(std::span<candidate> candidates, const stream_demand& demand);

// \returns how many of `servers` servers to reserve.
// \param slots mean number of requests that a server runs concurrently.
std::size_t reserve_size(const fleet_load& load, std::size_t servers, double slots);

}  // namespace hawthornnotch::dispatch::internal

#endif  // HAWTHORNNOTCH_SRC_DISPATCH_STREAM_RESERVE_H_
