/// \file
/// Limits, retry budget and learned lengths of one workspace at this router.
#ifndef HAWTHORNNOTCH_POLICY_WORKSPACE_STATE_H_
#define HAWTHORNNOTCH_POLICY_WORKSPACE_STATE_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/config/model.h"
#include "hawthornnotch/policy/length_model.h"
#include "hawthornnotch/policy/settings.h"
#include "hawthornnotch/policy/token_bucket.h"

namespace hawthornnotch::policy {

/// Determines this router's share of workspace limits that apply to the whole failure domain.
struct limit_share {
  /// Routers in the failure domain, including this one.
  std::uint32_t routers = 1;
  /// Peers without waiting requests, which lend part of their share.
  std::uint32_t idle_peers = 0;
};

/// Outcome of asking to queue a request.
enum class admission : std::uint8_t { granted, over_rate, over_queue };

/// State of one workspace.
///
/// Limits are divided evenly among the routers.  Unused rate accumulates for a few seconds.  While
/// peers have nothing waiting, a router may also use half of their shares, so that the sum over all
/// routers may exceed the limit.
/// Ownership: shared by the shards.  Thread safety: all members are thread-safe.
class workspace_state {
 public:
  explicit workspace_state(const scheduler_settings& settings);
  /// Asks to queue a request.  If granted, counts it as queued and adds to the retry budget.
  admission admit(const workspace_limits& limits, std::uint32_t retry_percent, limit_share share,
                  time_point now);
  /// Uncounts a queued request that ended without running.
  void on_left_queue();
  /// Asks to run a queued request.
  /// \returns whether the concurrency limit allows it; the request then counts as running.
  bool start(const workspace_limits& limits, limit_share share);
  /// Uncounts a running request.
  /// \param queued_again whether it counts as queued again.
  void on_stopped(bool queued_again);
  /// Takes a retry from the budget.  \returns false if none is left.
  bool take_retry();
  /// \returns time until the rate limit allows a request; 0 if the rate is unlimited.
  [[nodiscard]] duration rate_wait(const workspace_limits& limits, limit_share share) const;
  /// \param tokens output length of a completed request.
  void on_answer(std::string_view class_name, std::uint32_t tokens);
  /// \returns estimated output length given `sent` tokens so far, at most `max_tokens` unless
  /// `sent` has reached it.
  [[nodiscard]] double planned(std::string_view class_name, std::uint32_t sent,
                               std::uint32_t max_tokens) const;

 private:
  length_settings length_settings_;
  retry_settings retry_settings_;
  mutable std::mutex mutex_;
  token_bucket rate_;
  token_bucket retries_;
  std::uint32_t queued_ = 0;
  std::uint32_t running_ = 0;
  std::map<std::string, length_model, std::less<>> lengths_;
};

}  // namespace hawthornnotch::policy

#endif  // HAWTHORNNOTCH_POLICY_WORKSPACE_STATE_H_
