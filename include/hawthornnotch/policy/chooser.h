/// \file
/// Selection of a backend server for one request.
#ifndef HAWTHORNNOTCH_POLICY_CHOOSER_H_
#define HAWTHORNNOTCH_POLICY_CHOOSER_H_

#include <cstdint>
#include <memory>
#include <variant>

#include "hawthornnotch/base/random.h"
#include "hawthornnotch/policy/candidate_set.h"
#include "hawthornnotch/policy/prefix_map.h"
#include "hawthornnotch/policy/settings.h"

namespace hawthornnotch::policy {

/// Inputs of a choice.
struct choice_query {
  /// Tier whose share of the window may be used.
  tier room_of = tier_count - 1;
  latency_target target;
  /// Estimated output length, tokens.
  double planned_tokens = 0;
  /// 0 for none.
  std::uint64_t prefix_hash = 0;
  /// Server of the last failed attempt; used only if there is no other.
  const server_state* avoid = nullptr;
  time_point now;
};

/// Result of a choice.
struct choice {
  /// Null if no server has room.
  std::shared_ptr<server_state> server;
  /// Candidates examined, not counting the server that has the prefix cached.
  std::uint32_t sampled = 0;
  /// Expected time to first token; set by `tiered_chooser` only.
  double first_token_ms = 0;
};

/// Samples a few servers with room and picks the one expected to finish first, preferring those
/// expected to meet the latency targets.
class tiered_chooser {
 public:
  explicit tiered_chooser(const choice_settings& settings)
      : settings_(settings), prefixes_(settings.max_prefixes) {}
  choice pick(candidate_set& candidates, const choice_query& query, random_source& random);
  void record_dispatch(std::uint64_t prefix, const std::shared_ptr<server_state>& server) {
    prefixes_.record_dispatch(prefix, server);
  }

 private:
  struct scored {
    std::uint32_t index = 0;
    double score = 0;
    double first_token_ms = 0;
    bool found = false;
    bool meets_target = false;
  };
  void evaluate(candidate_set& candidates, std::uint32_t index, const choice_query& query,
                scored& best) const;

  choice_settings settings_;
  prefix_map prefixes_;
};

/// Picks servers in rotation.
class round_robin_chooser {
 public:
  choice pick(candidate_set& candidates, const choice_query& query);

 private:
  std::uint32_t next_ = 0;
};

/// Picks the server with the fewest requests of this router; scans all candidates.
class least_outstanding_chooser {
 public:
  static choice pick(candidate_set& candidates, const choice_query& query);
};

/// Selects servers by the policy named in the settings.
///
/// A choice fails only by returning no server; the request then stays queued.
/// Example: `choice next = chooser.pick(candidates, query, random);`
/// Ownership: a value.  Thread safety: none; the shard's lock protects it.
class chooser {
 public:
  explicit chooser(const scheduler_settings& settings);
  choice pick(candidate_set& candidates, const choice_query& query, random_source& random);
  /// Records that a request with this prefix was sent to the server.
  void record_dispatch(std::uint64_t prefix, const std::shared_ptr<server_state>& server);

 private:
  using behaviour = std::variant<tiered_chooser, round_robin_chooser, least_outstanding_chooser>;
  static behaviour make(const scheduler_settings& settings);

  behaviour behaviour_;
};

}  // namespace hawthornnotch::policy

#endif  // HAWTHORNNOTCH_POLICY_CHOOSER_H_
