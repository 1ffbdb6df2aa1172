/// \file
/// Every setting of the scheduler with its unit and range.
#ifndef HAWTHORNNOTCH_POLICY_SETTINGS_H_
#define HAWTHORNNOTCH_POLICY_SETTINGS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <variant>

#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/config/model.h"

namespace hawthornnotch::policy {

/// The product's policy: tiers, learned speeds, windows.
struct tiered {
  auto operator<=>(const tiered&) const = default;
};

/// Baseline: no tiers and no windows; each request goes at once to the next backend server in turn.
struct round_robin {
  auto operator<=>(const round_robin&) const = default;
};

/// Baseline: no tiers and no windows; each request goes at once to the backend server with the
/// fewest requests of this router.  Scans all candidates.
struct least_outstanding {
  auto operator<=>(const least_outstanding&) const = default;
};

/// Which behaviour decides.
using policy_kind = std::variant<tiered, round_robin, least_outstanding>;

/// Queue bounds and the share kept for lower tiers.
struct queue_settings {
  /// Requests queued for one model or service at this router, 1 to 1,000,000.
  std::size_t max_queued = 10'000;
  /// Part of the dispatched work that a waiting tier has at least, 0 to 0.2 each; tier 0 needs
  /// none.
  std::array<double, tier_count> least_share = {0.0, 0.04, 0.03, 0.02};
  /// A waiting tier has the next free slot after this long without one, milliseconds, above 0.
  duration max_dispatch_gap{10'000};
  /// One in this many dispatches of a tier goes to a request whose target is already missed, 2 to
  /// 100.
  std::uint32_t late_dispatch_interval = 25;
  /// Retry-After when no drain rate is known yet, milliseconds, above 0.
  duration default_retry_after{1'000};
  /// Longest Retry-After that is given, milliseconds, above 0.
  duration max_retry_after{60'000};
};

/// Choice among backend servers.
struct choice_settings {
  /// Candidates drawn for a choice, 1 to 16.
  std::uint32_t candidates = 3;
  /// Candidates drawn at most while none of them meets the targets, `candidates` to 64.
  std::uint32_t most_candidates = 8;
  /// Largest advantage of a server that holds the prompt's prefix, as a part of the expected
  /// first-token time, 0 to 1.
  double prefix_bonus = 0.5;
  /// Prefixes remembered for one model, 0 to 100,000.
  std::size_t prefixes = 4096;
  /// Backend servers of one model that a router uses on average at least, 2 to 10,000.
  std::size_t min_subset_size = 24;
  /// Routers that share one backend server at least, 1 to 32.
  std::uint32_t routers_per_server = 4;
};

/// Number of requests allowed at one backend server.
struct window_settings {
  /// Smallest and largest window as parts of the server's slots; 0 < least <= 1 <= most <= 8.
  double min_fraction = 0.5;
  double max_fraction = 1.0;
  /// Requests added to the window for each answered first token in time, 0 to 1.
  double increase = 0.1;
  /// Factor on the window when first tokens are late, 0.1 to 0.99.
  double decrease = 0.8;
  /// Time between two decreases, milliseconds, above 0.
  duration decrease_pause{1'000};
  /// Part of a class's first-token target that may pass at the backend server, 0.05 to 1.
  double first_token_fraction = 0.6;
  /// Part of the window open to each tier, above 0 to 1, not rising.
  std::array<double, tier_count> tier_window_fraction = {1.0, 0.9, 0.8, 0.8};
  /// Slots that change hands for each request that waits above the routers' mean, 0 to 32.
  double shift_gain = 8.0;
  /// Part of the other routers' mean that waiting work must stand above it to count, 0 to 10.
  double shift_threshold = 1.0;
  /// Age at which a peer's waiting work counts half, milliseconds, above 0.
  duration shift_half_life{3'000};
  /// Age at which a load report counts half, milliseconds, above 0.
  duration report_half_life{3'000};
};

/// Finding slow and failing backend servers.
struct ejection_settings {
  /// A server slower than its own norm by this factor is ejected in part, 1.5 to 20.
  double slow_factor = 3.0;
  /// Failed tries in a row that eject a server, 1 to 100.
  std::uint32_t failures = 2;
  /// First ejection time, doubled with each next one, milliseconds, above 0.
  duration first_time{1'000};
  /// Longest ejection time, milliseconds, at least `first_time`.
  duration longest_time{20'000};
  /// Largest part of a model's servers that is ejected at once, 0 to 0.5.
  double max_ejected_fraction = 0.3;
};

/// Learned output lengths.
struct length_settings {
  /// Quantile of the learned lengths that is the plan, 0.5 to 0.99.
  double quantile = 0.8;
  /// Weight of old answers when a new one is added, 0.9 to 0.9999.
  double decay = 0.99;
  /// Plan before anything is learned, tokens, above 0.
  std::uint32_t prior_tokens = 128;
};

/// Stopping lower tiers for higher ones.
struct preemption_settings {
  /// Lowest tier that may have others stopped for it, 0 to 3; tier_count: none is below it.
  tier lowest_entitled = 1;
  /// A request that waits is urgent when its latest start is nearer than this, milliseconds.
  duration slack{200};
  /// A request that was sent but has no first token yet is urgent when its target is nearer than
  /// this, milliseconds.
  duration first_token_slack{800};
  /// Streams being stopped at the same time for one model, 0 to 1000.
  std::uint32_t max_pending = 4;
};

/// Retries after failed tries.
struct retry_settings {
  /// Tries of one request at most, 1 to 10.
  std::uint32_t max_attempts = 4;
  /// Retries that a workspace may save up, 1 to 1000.
  double most_saved = 10.0;
};

/// All settings of the scheduler.
struct scheduler_settings {
  policy_kind policy = tiered{};
  queue_settings queue;
  choice_settings choice;
  window_settings window;
  ejection_settings ejection;
  length_settings length;
  preemption_settings preemption;
  retry_settings retry;
  /// Independent parts of the state, each under its own lock, 1 to 16.
  std::uint32_t shards = 8;
};

/// Why settings were not accepted.
enum class scheduler_failure : std::uint8_t {
  queue_out_of_range,
  choice_out_of_range,
  window_out_of_range,
  ejection_out_of_range,
  length_out_of_range,
  preemption_out_of_range,
  retry_out_of_range,
  shards_out_of_range,
};

/// Checks settings against the ranges stated above.  \returns the first group that is out of range.
std::optional<scheduler_failure> find_failure(const scheduler_settings& settings);

}  // namespace hawthornnotch::policy

#endif  // HAWTHORNNOTCH_POLICY_SETTINGS_H_
