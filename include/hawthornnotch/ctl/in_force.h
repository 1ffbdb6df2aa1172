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
  /// In force at the agent and its router; 0 if one of them knows no such workspace.  Absent if the
  /// agent did not answer, answered rubbish or does not reach its router.
  std::optional<std::uint64_t> revision;
};

/// Reads the member `revisions` (workspace name to revision) of an agent's dump, and the same of
/// its member `router`, which is what the router last said that it applies. \returns the lower of
/// both; nothing if one of them is missing, as when the agent does not reach its
///          router.
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
