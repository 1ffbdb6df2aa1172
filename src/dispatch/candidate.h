// The candidate servers of one request and their rendezvous order for its prompt.
#ifndef HAWTHORNNOTCH_SRC_DISPATCH_CANDIDATE_H_
#define HAWTHORNNOTCH_SRC_DISPATCH_CANDIDATE_H_

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "hawthornnotch/dispatch/server_state.h"
#include "hawthornnotch/member/fleet.h"
#include "hawthornnotch/servers/server_entry.h"

namespace hawthornnotch::dispatch::internal {

// All servers from this rank of the rendezvous order on share it.
inline constexpr std::uint32_t max_rank = 3;

// A server that may take the request.  Valid until the server list or the states change.
struct candidate {
  const servers::server_entry* server = nullptr;
  const server_state* state = nullptr;
  // Chosen only if no other server can take the request.
  bool avoided = false;
  // Generates tokens more slowly than most servers.
  bool slow = false;
  // Reserved for gap-sensitive streams.
  bool reserved_for_streams = false;
  // Other entry VMs may reserve it, because they know of other streams.
  bool beside_reserve = false;
  // Rank in the rendezvous order of the prompt, at most `max_rank`.
  std::uint32_t rank = 0;
};

// Ranks the servers that are not avoided by rendezvous hashing of a prefix, so that all entry VMs
// find the same first servers without coordination.  All other servers get `max_rank`.
// \param reserved_for_streams whether to rank the servers reserved for streams or all others.
void rank_by_rendezvous(std::span<candidate> candidates, std::uint64_t prefix,
                        bool reserved_for_streams);

// \pre the candidates are ranked
// \returns the servers that most probably have the prefix cached: the first two by rank.
std::vector<endpoint> likely_holders(std::span<const candidate> candidates);

}  // namespace hawthornnotch::dispatch::internal

#endif  // HAWTHORNNOTCH_SRC_DISPATCH_CANDIDATE_H_
