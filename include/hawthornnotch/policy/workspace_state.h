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

/// This router's part of a workspace's limits over the failure domain.
struct limit_share {
  std::uint32_t routers = 1;
  /// Peers without waiting work; part of what they leave unused may be taken.
  std::uint32_t idle_peers = 0;
};

enum class admission : std::uint8_t { granted, over_rate, over_queue };

/// One workspace.
///
/// Limits are divided evenly among the routers.  A router saves up its unused rate for some
/// seconds, and while peers have nothing waiting it may use half of their parts too; the sum over
/// all routers stays below one and a half times the limit.
/// Ownership: shared by the shards.  Thread safety: all members are thread safe.
class workspace_state {
 public:
  explicit workspace_state(const scheduler_settings& settings);
  /// Asks to queue one request; counts it as queued if granted, and feeds the retry budget.
  admission admit(const workspace_limits& limits, std::uint32_t retry_percent, limit_share share,
                  time_point now);
  /// A queued request left the queue without being run.
  void on_left_queue();
  /// Asks to run one queued request; counts it as running if there is room.
  bool start(const workspace_limits& limits, limit_share share);
  /// A request stopped running; `queued_again` counts it as queued.
  void on_stopped(bool queued_again);
  /// \returns whether the retry budget had one retry left; takes it.
  bool take_retry();
  /// \returns how long until the rate allows a request.
  [[nodiscard]] duration rate_wait(const workspace_limits& limits, limit_share share) const;
  void on_answer(std::string_view class_name, std::uint32_t tokens);
  /// \returns planned length given `sent` tokens, at most `max_tokens`.
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
