/// \file
/// Settings of the scheduler with their units and ranges.
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

/// The default policy: tiers, learned speeds and concurrency windows.
struct tiered {
  auto operator<=>(const tiered&) const = default;
};

/// Baseline without tiers and windows: each request goes immediately to the next backend server in
/// rotation.
struct round_robin {
  auto operator<=>(const round_robin&) const = default;
};

/// Baseline without tiers and windows: each request goes immediately to the backend server with the
/// fewest requests of this router.  Scans all candidates.
struct least_outstanding {
  auto operator<=>(const least_outstanding&) const = default;
};

/// Which policy schedules requests.
using policy_kind = std::variant<tiered, round_robin, least_outstanding>;

/// Queue bounds and the minimum shares of lower tiers.
struct queue_settings {
  /// Maximum queued requests for one model or service at this router, 1 to 1,000,000.
  std::size_t max_queued = 10'000;
  /// Minimum share of the dispatched work for each waiting tier, 0 to 0.2; unused for tier 0.
  std::array<double, tier_count> min_share = {0.0, 0.04, 0.03, 0.02};
  /// Time without a dispatch after which a waiting tier gets the next free slot, milliseconds,
  /// above 0.
  duration max_dispatch_gap{10'000};
  /// One in this many dispatches of a tier goes to a request that can no longer meet its target, 2
  /// to 100.
  std::uint32_t late_dispatch_interval = 25;
  /// Minimum Retry-After, also used while no drain rate is known, milliseconds, above 0.
  duration default_retry_after{1'000};
  /// Maximum Retry-After, milliseconds, at least `default_retry_after`.
  duration max_retry_after{60'000};
};

/// Selection among backend servers.
struct choice_settings {
  /// Candidates sampled for a choice, 1 to 16.
  std::uint32_t candidates = 3;
  /// Maximum candidates sampled while none is expected to meet the targets, `candidates` to 64.
  std::uint32_t max_candidates = 8;
  /// Reduction of the expected first-token time at a server that likely has the prompt's prefix
  /// cached, as a fraction, 0 to 1.
  double prefix_bonus = 0.5;
  /// Prefixes remembered per model, 0 to 100,000.
  std::size_t max_prefixes = 4096;
  /// Minimum backend servers of one model that a router uses on average, 2 to 10,000.
  std::size_t min_subset_size = 24;
  /// Minimum routers that share a backend server, 1 to 32.
  std::uint32_t min_routers_per_server = 4;
};

/// Concurrency window of a backend server and its division among tiers and routers.
struct window_settings {
  /// Minimum and maximum window as fractions of the server's slots; 0 < min <= 1 <= max <= 8.
  double min_fraction = 0.5;
  double max_fraction = 1.0;
  /// Added to the window for each first token in time, 0 to 1.
  double increase = 0.1;
  /// Multiplier of the window when a first token is late, 0.1 to 0.99.
  double decrease = 0.8;
  /// Minimum time between two decreases, milliseconds, above 0.
  duration decrease_cooldown{1'000};
  /// Fraction of the first-token target that may be spent at the backend server, 0.05 to 1.
  double first_token_fraction = 0.6;
  /// Fraction of the window that each tier may use, above 0 to 1, non-increasing.
  std::array<double, tier_count> tier_window_fraction = {1.0, 0.9, 0.8, 0.8};
  /// Slots shifted between routers for each request waiting in excess, 0 to 32.
  double shift_gain = 8.0;
  /// Excess of a router's queue over the mean of the others before slots shift, as a fraction of
  /// that mean, 0 to 10.
  double shift_threshold = 1.0;
  /// Half-life of reported queue lengths, milliseconds, above 0.
  duration shift_half_life{3'000};
  /// Half-life of load reports, milliseconds, above 0.
  duration report_half_life{3'000};
};

/// Outlier ejection of slow and failing backend servers.
struct ejection_settings {
  /// Slowdown relative to its own norm at which a server is partly ejected, 1.5 to 20.
  double slow_factor = 3.0;
  /// Consecutive failed attempts that eject a server, 1 to 100.
  std::uint32_t consecutive_failures = 2;
  /// Duration of the first ejection, doubled with each further one, milliseconds, above 0.
  duration base_duration{1'000};
  /// Maximum duration of an ejection, milliseconds, at least `base_duration`.
  duration max_duration{20'000};
  /// Maximum fraction of a model's servers that is ejected at once, counted separately for slow and
  /// for failing servers, 0 to 0.5.
  double max_ejected_fraction = 0.3;
};

/// Learned output lengths.
struct length_settings {
  /// Quantile of the learned lengths used as the estimate, 0.5 to 0.99.
  double quantile = 0.8;
  /// Multiplier of the weight of old samples with each new one, 0.9 to 0.9999.
  double decay = 0.99;
  /// Estimate before any sample, tokens, above 0.
  std::uint32_t prior_tokens = 128;
};

/// Preemption of lower tiers by higher ones.
struct preemption_settings {
  /// Lowest tier that may preempt others, 0 to `tier_count`.
  tier lowest_preempting_tier = 1;
  /// A queued request is urgent within this time of its latest start, milliseconds, 0 or more.
  duration slack{200};
  /// A dispatched request without a first token is urgent within this time of its first-token
  /// deadline, milliseconds.
  duration first_token_slack{800};
  /// Maximum streams being preempted at the same time for one model, 0 to 1000.
  std::uint32_t max_pending = 4;
};

/// Retries of failed attempts.
struct retry_settings {
  /// Maximum attempts of one request, 1 to 10.
  std::uint32_t max_attempts = 4;
  /// Maximum unused retries that a workspace accumulates, 1 to 1000.
  double max_saved_retries = 10.0;
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
  /// Shards of the state, each under its own lock, 1 to 16.
  std::uint32_t shards = 8;
};

/// Which group of settings is out of range.
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

/// Checks settings against the ranges documented above.
/// \returns the first group that is out of range, if any.
std::optional<scheduler_failure> find_failure(const scheduler_settings& settings);

}  // namespace hawthornnotch::policy

#endif  // HAWTHORNNOTCH_POLICY_SETTINGS_H_
