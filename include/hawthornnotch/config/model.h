/// \file
/// Workspaces, request classes and templates as every other module sees them.
///
/// Plain values without behaviour.  Parsing and checking: config/parse.h.
#ifndef HAWTHORNNOTCH_CONFIG_MODEL_H_
#define HAWTHORNNOTCH_CONFIG_MODEL_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "hawthornnotch/base/clock.h"

namespace hawthornnotch {

/// Service tier; 0 is the most urgent.
using tier = std::uint8_t;
inline constexpr int tier_count = 4;

/// What "in time" means for a class; an absent member is not measured.
struct latency_target {
  std::optional<duration> first_token;
  std::optional<duration> between_tokens;
  std::optional<duration> completion;
};

/// One kind of request of a workspace.
struct request_class {
  std::string name;
  tier service_tier = tier_count - 1;
  latency_target target;
  /// False: the request may run at most once and needs an Idempotency-Key.
  bool idempotent = true;
  /// How long a request may wait in the queue before it is answered `not_run`.
  duration queue_limit{30'000};
  /// Upper bound of the answer's length, tokens.
  std::uint32_t max_tokens = 4096;
};

/// Bounds of one workspace over the whole failure domain; 0 means unlimited.
struct workspace_limits {
  double requests_per_second = 0;
  std::uint32_t concurrency = 0;
  std::uint32_t queued = 0;
};

/// All that operators set for one workspace, at one revision.
struct workspace_parameters {
  std::string workspace;
  /// Rises by one with every accepted edit.
  std::uint64_t revision = 0;
  std::string template_name;
  /// Lower-case hex SHA-256 of each bearer key that callers may use.
  std::vector<std::string> key_hashes;
  std::string default_class;
  std::vector<request_class> classes;
  workspace_limits limits;
  /// Models and services the workspace may call; empty means all.
  std::vector<std::string> models;
  /// Retries and resumes allowed for each 100 requests.
  std::uint32_t retry_percent = 10;
  /// A deleted workspace stays as a tombstone so that it cannot revert.
  bool deleted = false;
};

/// The newest revision known of every workspace, by workspace name.
using workspace_table = std::map<std::string, workspace_parameters>;

}  // namespace hawthornnotch

#endif  // HAWTHORNNOTCH_CONFIG_MODEL_H_
