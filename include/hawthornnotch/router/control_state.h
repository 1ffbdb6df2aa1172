/// \file
/// The snapshot in force at a router: who may call and what there is to call.
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

/// One snapshot, indexed for look-ups.  Immutable once posted.
struct control_view {
  std::string agent_incarnation;
  std::uint64_t version = 0;
  /// True once all workspaces are known.
  bool complete = false;
  workspace_table workspaces;
  /// Workspace name by SHA-256 of a bearer key.
  std::unordered_map<std::string, std::string> workspace_by_key_hash;
  /// Names that at least one backend server serves.
  std::set<std::string, std::less<>> models;
  std::set<std::string, std::less<>> services;
  std::shared_ptr<const fleet_snapshot> fleet;

  /// \returns the live workspace of that name, or null.
  [[nodiscard]] const workspace_parameters* find_workspace(std::string_view name) const;
  /// \returns the live workspace that owns this bearer key, or null.
  [[nodiscard]] const workspace_parameters* find_by_bearer_key(std::string_view key) const;
};

/// Takes snapshots into force and never lets a workspace go back to an older revision.
///
/// Example:
///     state.apply("agent-1", 7, fleet, workspaces, true);
///     auto now = state.view();  // stays valid while held
/// Ownership: shares its views.  Thread safety: all members are thread safe.
class control_state {
 public:
  control_state();
  /// A snapshot that is older within the same agent incarnation is ignored; of each workspace the
  /// higher revision stays.  \returns whether anything was taken into force.
  bool apply(std::string_view agent_incarnation, std::uint64_t version, fleet_snapshot fleet,
             const workspace_table& workspaces, bool complete);
  /// \returns what is in force; never null.
  [[nodiscard]] std::shared_ptr<const control_view> view() const { return entry_.read(); }

 private:
  std::mutex apply_mutex_;
  entry<control_view> entry_;
};

/// \returns lower-case hex SHA-256.
std::string sha256_hex(std::string_view text);

}  // namespace hawthornnotch::router

#endif  // HAWTHORNNOTCH_ROUTER_CONTROL_STATE_H_
