#include "hawthornnotch/policy/subset.h"

#include <algorithm>

#include "hawthornnotch/base/hash.h"

namespace hawthornnotch::policy {

namespace {

std::uint32_t sharers(std::size_t servers, std::size_t routers, const choice_settings& settings) {
  const std::size_t wanted = (settings.min_subset_size * routers + servers - 1) / servers;
  const std::size_t least = std::max<std::size_t>(wanted, settings.routers_per_server);
  return static_cast<std::uint32_t>(std::min(least, routers));
}

// The number of routers with a higher hash of (server, router).
std::uint32_t rank_of(std::string_view own, std::string_view server,
                      std::span<const std::string> routers, std::uint64_t seed) {
  const std::uint64_t server_seed = stable_hash(server, seed);
  const std::uint64_t own_hash = stable_hash(own, server_seed);
  const auto higher = std::count_if(routers.begin(), routers.end(),
                                    [server_seed, own_hash, own](const std::string& router) {
                                      const std::uint64_t hash = stable_hash(router, server_seed);
                                      return hash > own_hash || (hash == own_hash && router > own);
                                    });
  return static_cast<std::uint32_t>(higher);
}

}  // namespace

server_subset choose_subset(std::string_view model, std::span<const std::string> servers,
                            std::span<const std::string> routers, std::string_view own,
                            const choice_settings& settings) {
  server_subset part;
  const bool known = std::find(routers.begin(), routers.end(), own) != routers.end();
  part.routers_per_server = std::max<std::uint32_t>(1, static_cast<std::uint32_t>(routers.size()));
  if (!servers.empty() && known) {
    part.routers_per_server = sharers(servers.size(), routers.size(), settings);
  }
  const std::uint64_t seed = stable_hash(model);
  for (std::size_t position = 0; position < servers.size(); ++position) {
    const std::uint32_t rank = known ? rank_of(own, servers[position], routers, seed) : 0;
    if (rank < part.routers_per_server) {
      part.servers.push_back({position, rank});
    }
  }
  return part;
}

}  // namespace hawthornnotch::policy
