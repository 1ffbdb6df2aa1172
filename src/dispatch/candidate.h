// The servers that one request may go to, and their order for its prompt.
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

// Servers from this place of the rendezvous order on are alike.
inline constexpr std::uint32_t last_rank = 3;

// Valid until the server list or the states change.
struct candidate {
  const servers::server_entry* server = nullptr;
  const server_state* state = nullptr;
  // Passed over while others can take the request.
  bool avoided = false;
  // Answers more slowly than most servers.
  bool slow = false;
  // Kept for streams whose callers bear only short pauses.
  bool reserved_for_streams = false;
  // Place in the rendezvous order of the prompt, at most `last_rank`.
  std::uint32_t rank = 0;
};

// Sets the ranks by the rendezvous order of a prefix, counted over servers that are not avoided:
// all entry VMs find the same first servers without talking about them. \param reserved_for_streams
// whether the servers that are kept for streams are counted, or all others.
void rank_by_rendezvous(std::span<candidate> candidates, std::uint64_t prefix,
                        bool reserved_for_streams);

// \pre the candidates are ranked
// \returns the servers that most probably hold the prefix: the first two of the order.
std::vector<endpoint> holders(std::span<const candidate> candidates);

}  // namespace hawthornnotch::dispatch::internal

#endif  // HAWTHORNNOTCH_SRC_DISPATCH_CANDIDATE_H_
