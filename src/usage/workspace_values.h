// Values of records that hold counts of workspaces.
#ifndef HAWTHORNNOTCH_SRC_USAGE_WORKSPACE_VALUES_H_
#define HAWTHORNNOTCH_SRC_USAGE_WORKSPACE_VALUES_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "hawthornnotch/replication/replicated_table.h"

namespace hawthornnotch::usage::internal {

using record_values = std::map<std::string, std::int64_t>;

inline constexpr const char* window_name = "window";
// Before the name of a workspace, which may equal that of another value.
inline constexpr char workspace_prefix = '=';
inline constexpr std::size_t max_workspace_bytes = replication::max_name_bytes - 1;

// \returns the value, or none if there is none.
inline std::optional<std::int64_t> value_of(const record_values& values, const char* name) {
  const auto found = values.find(name);
  return found == values.end() ? std::nullopt : std::optional(found->second);
}

inline std::string workspace_key(std::string_view workspace) {
  return workspace_prefix + std::string(workspace);
}

// Adds the counts of the workspaces in `values` to `totals`.
inline void add_workspaces(const record_values& values,
                           std::map<std::string, std::int64_t>& totals) {
  for (const auto& [name, value] : values) {
    if (!name.empty() && name.front() == workspace_prefix && value > 0) {
      totals[name.substr(1)] += value;
    }
  }
}

}  // namespace hawthornnotch::usage::internal

#endif  // HAWTHORNNOTCH_SRC_USAGE_WORKSPACE_VALUES_H_
