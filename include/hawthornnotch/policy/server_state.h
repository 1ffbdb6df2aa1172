/// \file
/// This router's state of one backend server.
#ifndef HAWTHORNNOTCH_POLICY_SERVER_STATE_H_
#define HAWTHORNNOTCH_POLICY_SERVER_STATE_H_

#include <array>
#include <atomic>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>

#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/member/fleet.h"
#include "hawthornnotch/policy/ejection.h"
#include "hawthornnotch/policy/load_estimator.h"
#include "hawthornnotch/policy/settings.h"
#include "hawthornnotch/policy/speed_estimator.h"
#include "hawthornnotch/policy/view.h"
#include "hawthornnotch/policy/window.h"

namespace hawthornnotch::policy {

/// How this router shares backend servers with its peers.
struct sharing {
  /// Routers that use each backend server, including this one.
  std::uint32_t routers = 1;
  /// Routers where the tier or a higher one waits, including this one.
  std::array<std::uint32_t, tier_count> contenders = {1, 1, 1, 1};
  /// Requests above and below the even share of the window, per server.
  std::array<double, tier_count> borrowed{};
  std::array<double, tier_count> lent{};
  /// Whether a higher tier waits at a peer.
  std::array<bool, tier_count> higher_tier_waits_at_peer{};
  /// Differs between routers, so that they do not all take the same spare slot.
  std::uint64_t router_seed = 0;
};

/// What a backend server can take at one moment.
struct server_offer {
  /// Whether one more request of each tier may be sent.
  std::array<bool, tier_count> room{};
  /// Allowed requests of this router, by tier.
  std::array<double, tier_count> limit{};
  /// Whether, and why, the server's concurrency is capped.
  cap_kind capped = cap_kind::none;
  std::uint32_t in_flight = 0;
  /// Estimated in-flight requests of other routers.
  double peer_in_flight = 0;
  /// Learned time from dispatch to first token.
  double first_token_ms = 0;
  double per_token_ms = 0;
};

/// In-flight count, learned speed, window and ejection state of one server incarnation.
///
/// Example:
///     server_offer offer = server.offer(sharing, rank, true, now);
///     if (offer.room[0]) { server.begin(now); }
/// Ownership: shared by the models it serves.  Thread safety: all members are thread-safe.
class server_state {
 public:
  server_state(const backend_server& facts, const scheduler_settings& settings, server_speed prior);

  [[nodiscard]] const backend_server& facts() const { return facts_; }
  /// Stops new work for the server; cannot be undone.
  void set_leaving() { leaving_ = true; }
  [[nodiscard]] bool leaving() const { return leaving_; }
  /// \param rank rank of this router among the routers that use the server, from 0.
  /// \param enforce_cap false if the cap is ignored because too many servers are capped.
  [[nodiscard]] server_offer offer(const sharing& shared, std::uint32_t rank, bool enforce_cap,
                                   time_point now) const;
  /// \returns in-flight requests of this router.
  [[nodiscard]] std::uint32_t in_flight() const;
  /// Counts a request that this router sent to the server.
  void begin(time_point now);
  /// Uncounts a request that ended.
  void end(time_point now);
  /// \param waited time from dispatch to first token.
  /// \param target first-token target; if absent, the window does not change.
  void on_first_token(duration waited, std::optional<duration> target, time_point now);
  /// \param count tokens received in `span`.
  void on_tokens(std::uint32_t count, duration span, time_point now);
  void on_success();
  void on_failure(time_point now);
  /// The server answered that it is overloaded.
  void on_busy(time_point now);
  void on_report(const load_report& report);
  [[nodiscard]] server_speed speed() const;
  [[nodiscard]] server_view view(time_point now) const;

 private:
  [[nodiscard]] double limit(const sharing& shared, std::uint32_t rank, tier service_tier,
                             time_point now) const;
  // Returns a value in [0, 1) that is stable for a short period and differs between routers.
  [[nodiscard]] double pseudo_random(const sharing& shared, time_point now) const;

  const backend_server facts_;
  const window_settings settings_;
  const std::uint64_t seed_;
  std::atomic<bool> leaving_;
  mutable std::mutex mutex_;
  std::uint32_t in_flight_ = 0;
  speed_estimator speed_;
  load_estimator load_;
  window window_;
  ejection ejection_;
};

}  // namespace hawthornnotch::policy

#endif  // HAWTHORNNOTCH_POLICY_SERVER_STATE_H_
