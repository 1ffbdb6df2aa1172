/// \file
/// Which routers use which backend servers.
#ifndef HAWTHORNNOTCH_POLICY_SUBSET_H_
#define HAWTHORNNOTCH_POLICY_SUBSET_H_

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "hawthornnotch/policy/settings.h"

namespace hawthornnotch::policy {

/// One router's part of the servers of a model.
struct server_subset {
  struct used_server {
    /// Position in the given list of servers.
    std::size_t position = 0;
    /// This router's place among those that use the server, from 0.
    std::uint32_t rank = 0;
  };
  std::vector<used_server> servers;
  /// Routers that use each of them.
  std::uint32_t routers_per_server = 1;
};

/// Rendezvous hashing: each server is used by the same number of routers, those with the highest
/// hash of (server, router, model).  A router or server that joins or leaves moves only its own
/// part. \param servers ids of the model's servers. \param routers ids of all routers, `own` among
/// them; if it is not, all servers are used. \returns this router's part.
server_subset choose_subset(std::string_view model, std::span<const std::string> servers,
                            std::span<const std::string> routers, std::string_view own,
                            const choice_settings& settings);

}  // namespace hawthornnotch::policy

#endif  // HAWTHORNNOTCH_POLICY_SUBSET_H_
