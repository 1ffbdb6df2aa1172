// Servers kept for streams whose callers bear only short pauses.
#ifndef HAWTHORNNOTCH_SRC_DISPATCH_STREAM_RESERVE_H_
#define HAWTHORNNOTCH_SRC_DISPATCH_STREAM_RESERVE_H_

#include <cstddef>
#include <span>

#include "candidate.h"

namespace hawthornnotch::dispatch::internal {

// What the size of the reserve depends on.
struct fleet_load {
  // Pause-sensitive streams that run in the fleet.
  double streams = 0;
  // Time that the prompts waiting at a server take it, in the mean, in ms.
  double waiting_ms = 0;
};

// Marks the candidates that are kept for pause-sensitive streams.
//
// An engine reads prompts in pieces between the tokens of all streams that run there, so a stream
// that bears only short pauses is late beside any long prompt.  The load pattern it answers: many
// long prompts and many such streams at once.  All entry VMs keep the same servers: the first ones
// that are neither avoided nor slow, in an order by a hash of their ids; how many follows from the
// load of the fleet.  None are kept where prompts wait long: then all servers are needed for them.
// \returns how many are kept.
std::size_t keep_for_streams(std::span<candidate> candidates, const fleet_load& load);

// \returns how many of `servers` servers are kept.
// \param slots requests that one of them runs side by side.
std::size_t reserve_size(const fleet_load& load, std::size_t servers, double slots);

}  // namespace hawthornnotch::dispatch::internal

#endif  // HAWTHORNNOTCH_SRC_DISPATCH_STREAM_RESERVE_H_
