/// \file
/// State of the workspaces that this router has seen.
#ifndef HAWTHORNNOTCH_POLICY_WORKSPACE_TABLE_H_
#define HAWTHORNNOTCH_POLICY_WORKSPACE_TABLE_H_

#include <map>
#include <memory>
#include <mutex>
#include <shared_mutex>
#include <string>
#include <string_view>

#include "hawthornnotch/policy/workspace_state.h"

namespace hawthornnotch::policy {

/// Finds or creates the state of a workspace; states are never removed.
///
/// Example: `auto workspace = table.find("poledica");`
/// Ownership: shares the states.  Thread safety: all members are thread-safe.
class workspace_table {
 public:
  explicit workspace_table(const scheduler_settings& settings) : settings_(settings) {}
  std::shared_ptr<workspace_state> find(std::string_view workspace) {
    {
      const std::shared_lock lock(mutex_);
      const auto found = states_.find(workspace);
      if (found != states_.end()) {
        return found->second;
      }
    }
    const std::lock_guard lock(mutex_);
    auto& state = states_[std::string(workspace)];
    if (!state) {
      state = std::make_shared<workspace_state>(settings_);
    }
    return state;
  }

 private:
  const scheduler_settings& settings_;
  std::shared_mutex mutex_;
  std::map<std::string, std::shared_ptr<workspace_state>, std::less<>> states_;
};

}  // namespace hawthornnotch::policy

#endif  // HAWTHORNNOTCH_POLICY_WORKSPACE_TABLE_H_
