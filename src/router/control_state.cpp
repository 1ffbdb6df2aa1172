#include "hawthornnotch/router/control_state.h"

#include <openssl/evp.h>

#include <algorithm>
#include <array>

namespace hawthornnotch::router {

namespace {

void merge_newer_revisions(const workspace_table& from, workspace_table& into) {
  for (const auto& [name, parameters] : from) {
    auto [existing, is_new] = into.try_emplace(name, parameters);
    if (!is_new && existing->second.revision < parameters.revision) {
      existing->second = parameters;
    }
  }
}

// Keeps a server marked as leaving for as long as its incarnation is listed.
void carry_over_leaving(const fleet_snapshot& before, fleet_snapshot& now) {
  std::set<std::pair<std::string, std::string>> leaving;
  for (const backend_server& server : before.backend_servers) {
    if (server.leaving) {
      leaving.emplace(server.id, server.incarnation);
    }
  }
  for (backend_server& server : now.backend_servers) {
    if (leaving.count({server.id, server.incarnation}) > 0) {
      server.leaving = true;
    }
  }
}

void index_workspaces(control_view& view) {
  for (const auto& [name, parameters] : view.workspaces) {
    if (parameters.deleted) {
      continue;
    }
    for (const std::string& hash : parameters.key_hashes) {
      view.workspace_by_key_hash.emplace(hash, name);
    }
  }
}

void index_fleet(control_view& view) {
  for (const backend_server& server : view.fleet->backend_servers) {
    auto& names = server.kind == backend_kind::engine ? view.models : view.services;
    names.insert(server.serves.begin(), server.serves.end());
  }
}

}  // namespace

const workspace_parameters* control_view::find_workspace(std::string_view name) const {
  const auto found = workspaces.find(std::string(name));
  if (found == workspaces.end() || found->second.deleted) {
    return nullptr;
  }
  return &found->second;
}

const workspace_parameters* control_view::find_by_bearer_key(std::string_view key) const {
  const auto found = workspace_by_key_hash.find(sha256_hex(key));
  return found == workspace_by_key_hash.end() ? nullptr : find_workspace(found->second);
}

control_state::control_state() {
  auto empty = std::make_shared<control_view>();
  empty->fleet = std::make_shared<const fleet_snapshot>();
  current_.post(std::move(empty));
}

bool control_state::apply(std::string_view agent_incarnation, std::uint64_t version,
                          fleet_snapshot fleet, const workspace_table& workspaces, bool complete) {
  const std::lock_guard lock(apply_mutex_);
  const auto before = current_.read();
  const bool same_agent = before->agent_incarnation == agent_incarnation;
  if (same_agent && version <= before->version) {
    return false;
  }
  auto next = std::make_shared<control_view>();
  next->agent_incarnation = std::string(agent_incarnation);
  next->version = version;
  next->complete = complete || before->complete;
  next->workspaces = before->workspaces;
  merge_newer_revisions(workspaces, next->workspaces);
  carry_over_leaving(*before->fleet, fleet);
  next->fleet = std::make_shared<const fleet_snapshot>(std::move(fleet));
  index_workspaces(*next);
  index_fleet(*next);
  current_.post(std::move(next));
  return true;
}

std::string sha256_hex(std::string_view text) {
  static constexpr std::string_view digits = "0123456789abcdef";
  constexpr unsigned nibble_bits = 4;
  constexpr unsigned nibble_mask = 0xF;
  std::array<unsigned char, EVP_MAX_MD_SIZE> bytes{};
  unsigned size = 0;
  EVP_Digest(text.data(), text.size(), bytes.data(), &size, EVP_sha256(), nullptr);
  std::string hex;
  for (unsigned index = 0; index < size; ++index) {
    const unsigned byte = bytes.at(index);
    hex.push_back(digits[byte >> nibble_bits]);
    hex.push_back(digits[byte & nibble_mask]);
  }
  return hex;
}

}  // namespace hawthornnotch::router
