/// \file
/// Whether a workspace's revision is in force in each failure domain; no I/O.
#ifndef HAWTHORNNOTCH_CTL_IN_FORCE_H_
#define HAWTHORNNOTCH_CTL_IN_FORCE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "hawthornnotch/ctl/report.h"
#include "hawthornnotch/member/fleet.h"

namespace hawthornnotch::ctl {

/// What one agent says of one workspace.
struct agent_state {
  std::string failure_domain;
  endpoint agent;
  /// Absent if the agent did not answer or answered rubbish; 0 if it knows no such workspace.
  std::optional<std::uint64_t> revision;
};

/// Reads the member `revisions` (workspace name to revision in force at the agent and its router)
/// of an agent's dump.  \returns nothing if the dump has none.
std::optional<std::uint64_t> revision_in_dump(std::string_view dump, std::string_view workspace);

/// \returns the agents that don't report `revision` or a later one.
std::vector<agent_state> not_reached(const std::vector<agent_state>& states,
                                     std::uint64_t revision);
/// \returns one row an agent: failure domain, agent, revision in force, state.
table describe(const std::vector<agent_state>& states, std::uint64_t revision);
/// \returns the failure domains and agents in one line.
std::string names_of(const std::vector<agent_state>& states);

}  // namespace hawthornnotch::ctl

#endif  // HAWTHORNNOTCH_CTL_IN_FORCE_H_
