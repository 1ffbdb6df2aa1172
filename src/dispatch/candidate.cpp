#include "candidate.h"

#include <algorithm>

#include "hawthornnotch/base/hash.h"

namespace hawthornnotch::dispatch::internal {

namespace {

struct ranked_candidate {
  std::uint64_t affinity = 0;
  candidate* target = nullptr;
};

}  // namespace

void rank_by_rendezvous(std::span<candidate> candidates, std::uint64_t prefix,
                        bool reserved_for_streams) {
  std::vector<ranked_candidate> order;
  order.reserve(candidates.size());
  for (candidate& each : candidates) {
    each.rank = max_rank;
    if (!each.avoided && !each.beside_reserve &&
        each.reserved_for_streams == reserved_for_streams) {
      order.push_back({stable_hash(each.server->id, prefix), &each});
    }
  }
  const std::size_t sorted = std::min<std::size_t>(max_rank, order.size());
  std::partial_sort(
      order.begin(), order.begin() + static_cast<std::ptrdiff_t>(sorted), order.end(),
      [](const ranked_candidate& a, const ranked_candidate& b) { return a.affinity > b.affinity; });
  for (std::uint32_t rank = 0; rank < sorted; ++rank) {
    order[rank].target->rank = rank;
  }
}

std::vector<endpoint> likely_holders(std::span<const candidate> candidates) {
  constexpr std::uint32_t count = 2;
  std::vector<endpoint> out;
  for (std::uint32_t rank = 0; rank < count; ++rank) {
    const auto found = std::find_if(candidates.begin(), candidates.end(),
                                    [&](const candidate& each) { return each.rank == rank; });
    if (found != candidates.end()) {
      out.push_back(found->server->address);
    }
  }
  return out;
}

}  // namespace hawthornnotch::dispatch::internal
