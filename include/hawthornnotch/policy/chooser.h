/// \file
/// Choice of a backend server for one request.
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

/// What a choice depends on.
struct choice_query {
  /// Tier whose room may be used.
  tier room_of = tier_count - 1;
  latency_target target;
  double planned_tokens = 0;
  std::uint64_t prefix_hash = 0;
  /// Server of the failed try before, taken only if there is no other.
  const server_state* avoid = nullptr;
  time_point now;
};

/// A chosen server, or none.
struct choice {
  std::shared_ptr<server_state> server;
  std::uint32_t drawn = 0;
  double first_token_ms = 0;
};

/// Draws few servers with room and takes the one that is expected to finish first among those that
/// meet the targets.
class tiered_chooser {
 public:
  explicit tiered_chooser(const choice_settings& settings)
      : settings_(settings), prefixes_(settings.prefixes) {}
  choice pick(candidate_set& candidates, const choice_query& query, random_source& random);
  void ran(std::uint64_t prefix, const std::shared_ptr<server_state>& server) {
    prefixes_.ran(prefix, server);
  }

 private:
  struct scored {
    std::uint32_t index = 0;
    double score = 0;
    double first_token_ms = 0;
    bool found = false;
    bool meets_target = false;
  };
  void weigh(candidate_set& candidates, std::uint32_t index, const choice_query& query,
             scored& best) const;

  choice_settings settings_;
  prefix_map prefixes_;
};

/// The next server in turn.
class round_robin_chooser {
 public:
  choice pick(candidate_set& candidates, const choice_query& query);

 private:
  std::uint32_t next_ = 0;
};

/// The server with the fewest requests of this router; scans all.
class least_outstanding_chooser {
 public:
  static choice pick(candidate_set& candidates, const choice_query& query);
};

/// The behaviour that the settings name.
///
/// Example: `choice next = chooser.pick(candidates, query, random);`
/// Ownership: a value.  Thread safety: none; the shard's lock protects it.
class chooser {
 public:
  explicit chooser(const scheduler_settings& settings);
  choice pick(candidate_set& candidates, const choice_query& query, random_source& random);
  /// A request with this prefix was sent to the server.
  void ran(std::uint64_t prefix, const std::shared_ptr<server_state>& server);

 private:
  using behaviour = std::variant<tiered_chooser, round_robin_chooser, least_outstanding_chooser>;
  static behaviour make(const scheduler_settings& settings);

  behaviour behaviour_;
};

}  // namespace hawthornnotch::policy

#endif  // HAWTHORNNOTCH_POLICY_CHOOSER_H_
