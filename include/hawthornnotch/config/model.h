/// \file
/// Workspaces and request classes.
///
/// Plain data without behavior; config/codec.h parses and validates it.
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

/// Latency targets of a class; an absent member has no target.
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
  /// False: the request may run at most once and requires an Idempotency-Key.
  bool idempotent = true;
  /// Maximum wait in the queue; the request then fails as `not_run`.
  duration queue_limit{30'000};
  /// Maximum length of the response, in tokens.
  std::uint32_t max_tokens = 4096;
};

/// Quotas of one workspace across the whole failure domain; 0 means unlimited.
struct workspace_limits {
  double requests_per_second = 0;
  std::uint32_t concurrency = 0;
  std::uint32_t queued = 0;
};

/// Configuration of one workspace at one revision.
struct workspace_parameters {
  std::string workspace;
  /// Incremented by every accepted edit.
  std::uint64_t revision = 0;
  std::string template_name;
  /// Lower-case hexadecimal SHA-256 of each accepted bearer key.
  std::vector<std::string> key_hashes;
  std::string default_class;
  std::vector<request_class> classes;
  workspace_limits limits;
  /// Models and services the workspace may call; empty means all.
  std::vector<std::string> models;
  /// Retry budget: retries and resumes allowed per 100 requests.
  std::uint32_t retry_percent = 10;
  /// A deleted workspace is kept as a tombstone, so that a stale copy cannot restore it.
  bool deleted = false;
};

/// The newest known revision of every workspace, by workspace name.
using workspace_table = std::map<std::string, workspace_parameters>;

}  // namespace hawthornnotch

#endif  // HAWTHORNNOTCH_CONFIG_MODEL_H_
