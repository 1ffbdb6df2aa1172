#include "hawthornnotch/policy/subset.h"

#include <algorithm>
#include <numeric>

#include "hawthornnotch/base/hash.h"

namespace hawthornnotch::policy {

namespace {

std::uint32_t sharers(std::size_t servers, std::size_t routers, const choice_settings& settings) {
  const std::size_t wanted = (settings.subset * routers + servers - 1) / servers;
  const std::size_t least = std::max<std::size_t>(wanted, settings.routers_per_server);
  return static_cast<std::uint32_t>(std::min(least, routers));
}

bool uses(std::string_view server, std::uint64_t seed, std::span<const std::string> routers,
          std::string_view own, std::uint32_t count) {
  const std::uint64_t server_seed = stable_hash(server, seed);
  const std::uint64_t own_hash = stable_hash(own, server_seed);
  const auto higher = std::count_if(routers.begin(), routers.end(),
                                    [server_seed, own_hash, own](const std::string& router) {
                                      const std::uint64_t hash = stable_hash(router, server_seed);
                                      return hash > own_hash || (hash == own_hash && router > own);
                                    });
  return higher < static_cast<std::ptrdiff_t>(count);
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
  if (!known || part.routers_per_server >= routers.size()) {
    part.servers.resize(servers.size());
    std::iota(part.servers.begin(), part.servers.end(), std::size_t{0});
    return part;
  }
  const std::uint64_t seed = stable_hash(model);
  for (std::size_t index = 0; index < servers.size(); ++index) {
    if (uses(servers[index], seed, routers, own, part.routers_per_server)) {
      part.servers.push_back(index);
    }
  }
  return part;
}

}  // namespace hawthornnotch::policy
