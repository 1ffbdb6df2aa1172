/// \file
/// The backend servers of the fleet, kept across snapshots.
#ifndef HAWTHORNNOTCH_POLICY_SERVER_REGISTRY_H_
#define HAWTHORNNOTCH_POLICY_SERVER_REGISTRY_H_

#include <array>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "hawthornnotch/member/fleet.h"
#include "hawthornnotch/policy/candidate_set.h"
#include "hawthornnotch/policy/peer_demand.h"
#include "hawthornnotch/policy/server_state.h"
#include "hawthornnotch/policy/subset.h"
#include "hawthornnotch/policy/workspace_state.h"

namespace hawthornnotch::policy {

/// The servers of one model or service that this router uses.
struct service_servers {
  std::vector<candidate> servers;
  sharing shared;
};

/// Keeps the `server_state` of each server incarnation, so that learned speeds and the leaving flag
/// survive new snapshots.
///
/// A server that is no longer listed is kept for an hour, and longer while requests run there.
///
/// Example:
///     registry.apply(fleet, own_vm, own_waiting, now);
///     service_servers usable = registry.servers_of("llama");
/// Ownership: shares the states.  Thread safety: none; the scheduler's fleet lock protects it.
class server_registry {
 public:
  explicit server_registry(const scheduler_settings& settings)
      : settings_(settings), demand_(settings.window) {}
  /// Applies a fleet snapshot.
  /// \param own_waiting this router's waiting requests by tier.
  /// \returns whether servers or routers differ from the previous snapshot.
  bool apply(const fleet_snapshot& fleet, std::string_view own_vm,
             const std::array<std::uint32_t, tier_count>& own_waiting, time_point now);
  /// \returns whether any server that is not leaving serves the model or service.
  [[nodiscard]] bool has_servers_for(std::string_view serves) const {
    return by_service_.find(serves) != by_service_.end();
  }
  /// \returns this router's subset of the servers of a model or service; empty if there are none.
  [[nodiscard]] service_servers servers_of(std::string_view serves) const;
  /// \returns the sharing parameters for a model whose servers are each used by `routers` routers.
  [[nodiscard]] sharing sharing_for(std::uint32_t routers) const;
  /// \returns this router's share of workspace limits.
  [[nodiscard]] limit_share limits() const;
  [[nodiscard]] std::vector<server_view> view(time_point now) const;

 private:
  struct known_server {
    std::shared_ptr<server_state> state;
    time_point last_listed;
  };
  using prior_table = std::map<std::string, server_speed>;
  void update_servers(const std::vector<backend_server>& listed, time_point now);
  void expire_absent(time_point now);
  [[nodiscard]] static std::string kind_of(const backend_server& facts);
  // Returns the mean speed of the known servers of each kind, the prior for a new server.
  [[nodiscard]] prior_table learn_priors() const;
  void count_peers(const fleet_snapshot& fleet);
  void update_slot_shift(const fleet_snapshot& fleet,
                         const std::array<std::uint32_t, tier_count>& own_waiting, time_point now);

  const scheduler_settings& settings_;
  std::string own_vm_;
  std::map<std::string, known_server, std::less<>> servers_;
  std::map<std::string, std::vector<std::string>, std::less<>> by_service_;
  std::vector<std::string> routers_;
  std::vector<backend_server> last_servers_;
  sharing shared_;
  peer_demand demand_;
  std::uint32_t idle_peers_ = 0;
};

}  // namespace hawthornnotch::policy

#endif  // HAWTHORNNOTCH_POLICY_SERVER_REGISTRY_H_
