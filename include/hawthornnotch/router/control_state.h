/// \file
/// The router's active configuration: workspaces, models, services and the fleet.
#ifndef HAWTHORNNOTCH_ROUTER_CONTROL_STATE_H_
#define HAWTHORNNOTCH_ROUTER_CONTROL_STATE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>

#include "hawthornnotch/base/blackboard.h"
#include "hawthornnotch/config/model.h"
#include "hawthornnotch/member/fleet.h"

namespace hawthornnotch::router {

/// One version of the configuration with its indexes.  Immutable once published.
struct control_view {
  /// Incarnation of the agent that sent the snapshot; versions are comparable within it only.
  std::string agent_incarnation;
  std::uint64_t version = 0;
  /// True once all workspaces are known.
  bool complete = false;
  workspace_table workspaces;
  /// Workspace name by SHA-256 of a bearer key.
  std::unordered_map<std::string, std::string> workspace_by_key_hash;
  /// Names of models that at least one backend server serves.
  std::set<std::string, std::less<>> models;
  /// Names of services that at least one backend server serves.
  std::set<std::string, std::less<>> services;
  std::shared_ptr<const fleet_snapshot> fleet;

  /// \returns the workspace, or null if it is unknown or deleted.
  [[nodiscard]] const workspace_parameters* find_workspace(std::string_view name) const;
  /// \returns the workspace that owns this bearer key, or null if it is unknown or deleted.
  [[nodiscard]] const workspace_parameters* find_by_bearer_key(std::string_view key) const;
};

/// Applies configuration snapshots.  No workspace ever returns to an older revision, and a server
/// that was announced as leaving stays so for as long as its incarnation is listed.
///
/// Failures: a snapshot that is not newer than the applied one of the same agent is ignored.
///
/// Example:
///     state.apply("agent-1", 7, fleet, workspaces, true);
///     auto current = state.view();  // stays valid while held
/// Ownership: shares its views.  Thread safety: all members are thread safe.
class control_state {
 public:
  control_state();
  /// Applies a snapshot, merging each workspace by its higher revision.
  /// \param version increases within one agent incarnation.
  /// \param complete whether the snapshot holds all workspaces; stays true once it was.
  /// \returns false if the snapshot was ignored as old.
  bool apply(std::string_view agent_incarnation, std::uint64_t version, fleet_snapshot fleet,
             const workspace_table& workspaces, bool complete);
  /// \returns the active configuration; never null, empty before the first `apply`.
  [[nodiscard]] std::shared_ptr<const control_view> view() const { return current_.read(); }

 private:
  std::mutex apply_mutex_;
  entry<control_view> current_;
};

/// \returns the SHA-256 in lower-case hex.
std::string sha256_hex(std::string_view text);

}  // namespace hawthornnotch::router

#endif  // HAWTHORNNOTCH_ROUTER_CONTROL_STATE_H_
