#include "hawthornnotch/ctl/in_force.h"

#include <algorithm>
#include <iterator>

#include "hawthornnotch/config/json_reader.h"
#include "hawthornnotch/member/fleet_codec.h"

namespace hawthornnotch::ctl {
namespace {

bool has_reached(const agent_state& state, std::uint64_t revision) {
  return state.revision && *state.revision >= revision;
}

std::string_view state_text(const agent_state& state, std::uint64_t revision) {
  if (!state.revision) {
    return "unreachable";
  }
  return has_reached(state, revision) ? "in force" : "behind";
}

std::optional<std::uint64_t> revision_in(const boost::json::object& process,
                                         std::string_view workspace) {
  const boost::json::value* revisions = process.if_contains("revisions");
  if (revisions == nullptr || !revisions->is_object()) {
    return {};
  }
  const boost::json::value* revision = revisions->as_object().if_contains(workspace);
  if (revision == nullptr) {
    return 0;
  }
  boost::system::error_code error;
  const auto number = revision->to_number<std::uint64_t>(error);
  return error ? std::nullopt : std::optional(number);
}

}  // namespace

std::optional<std::uint64_t> revision_in_dump(std::string_view dump, std::string_view workspace) {
  const auto object = parse_object(dump);
  const boost::json::value* router = object ? object->if_contains("router") : nullptr;
  if (router == nullptr || !router->is_object()) {
    return {};
  }
  const auto agent_revision = revision_in(*object, workspace);
  const auto router_revision = revision_in(router->as_object(), workspace);
  if (!agent_revision || !router_revision) {
    return {};
  }
  return std::min(*agent_revision, *router_revision);
}

std::vector<agent_state> lagging_agents(const std::vector<agent_state>& states,
                                        std::uint64_t revision) {
  std::vector<agent_state> lagging;
  std::copy_if(states.begin(), states.end(), std::back_inserter(lagging),
               [revision](const agent_state& state) { return !has_reached(state, revision); });
  return lagging;
}

table describe(const std::vector<agent_state>& states, std::uint64_t revision) {
  table agent_table{{"failure_domain", "agent", "revision", "state"}, {}};
  for (const agent_state& state : states) {
    agent_table.rows.push_back({state.failure_domain, to_text(state.agent),
                                state.revision ? std::to_string(*state.revision) : "-",
                                std::string(state_text(state, revision))});
  }
  return agent_table;
}

std::string format_agents(const std::vector<agent_state>& states) {
  std::string names;
  for (const agent_state& state : states) {
    names += names.empty() ? "" : ", ";
    names += state.failure_domain + " (" + to_text(state.agent) + ")";
  }
  return names;
}

}  // namespace hawthornnotch::ctl
