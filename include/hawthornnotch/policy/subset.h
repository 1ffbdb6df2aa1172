/// \file
/// Assignment of backend servers to routers.
#ifndef HAWTHORNNOTCH_POLICY_SUBSET_H_
#define HAWTHORNNOTCH_POLICY_SUBSET_H_

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "hawthornnotch/policy/settings.h"

namespace hawthornnotch::policy {

/// The servers of a model that one router uses.
struct server_subset {
  struct used_server {
    /// Index in the given list of servers.
    std::size_t position = 0;
    /// Rank of this router among the routers that use the server, from 0.
    std::uint32_t rank = 0;
  };
  std::vector<used_server> servers;
  /// Routers that use each server.
  std::uint32_t routers_per_server = 1;
};

/// Selects a router's servers by rendezvous hashing.
///
/// Each server is used by the same number of routers: those with the highest hash of (server,
/// router, model).  When a router or server joins or leaves, only its own assignments move.
/// \param servers ids of the model's servers.
/// \param routers ids of all routers.
/// \param own id of this router; if it is not in `routers`, all servers are used.
server_subset choose_subset(std::string_view model, std::span<const std::string> servers,
                            std::span<const std::string> routers, std::string_view own,
                            const choice_settings& settings);

}  // namespace hawthornnotch::policy

#endif  // HAWTHORNNOTCH_POLICY_SUBSET_H_
