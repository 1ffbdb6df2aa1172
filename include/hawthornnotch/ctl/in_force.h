/// \file
/// Evaluates which revision of a workspace is in force in each failure domain.
///
/// Pure functions without I/O. A dump that can't be read gives no revision instead of an error.
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

/// Revision of one workspace that one agent reports.
struct agent_state {
  std::string failure_domain;
  endpoint agent;
  /// Revision in force at both the agent and its router; 0 if either does not know the workspace.
  /// Empty if the agent did not respond, sent a malformed dump or does not reach its router.
  std::optional<std::uint64_t> revision;
};

/// Reads the member `revisions` (workspace name to revision) of an agent's dump, and the one of its
/// member `router`, which holds what the router last reported to apply.
/// \returns the lower of the two; nothing if either `revisions` is missing or malformed. The
///          router's is missing when the agent does not reach its router.
std::optional<std::uint64_t> revision_in_dump(std::string_view dump, std::string_view workspace);

/// \returns the agents that report neither `revision` nor a later one.
std::vector<agent_state> lagging_agents(const std::vector<agent_state>& states,
                                        std::uint64_t revision);
/// \returns one row per agent: failure domain, agent, revision in force, state.
table describe(const std::vector<agent_state>& states, std::uint64_t revision);
/// \returns a comma-separated list of failure domains and agents.
std::string format_agents(const std::vector<agent_state>& states);

}  // namespace hawthornnotch::ctl

#endif  // HAWTHORNNOTCH_CTL_IN_FORCE_H_
