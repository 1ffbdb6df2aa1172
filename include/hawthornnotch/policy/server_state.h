/// \file
/// One backend server as this router sees it.
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
  /// Routers that use a backend server, this one included.
  std::uint32_t routers = 1;
  /// Routers with waiting work of the tier or a higher one, this one included.
  std::array<std::uint32_t, tier_count> contenders = {1, 1, 1, 1};
  /// Requests at each server above and below the even part of the window.
  std::array<double, tier_count> taken{};
  std::array<double, tier_count> given{};
  /// Whether a peer has waiting work of a higher tier.
  std::array<bool, tier_count> peers_wait_higher{};
  /// Differs between routers: spreads who takes which spare slot.
  std::uint64_t router_seed = 0;
};

/// What a backend server can take at a moment.
struct server_offer {
  std::array<bool, tier_count> room{};
  /// Requests of this router allowed for each tier.
  std::array<double, tier_count> limit{};
  /// Capped after failures or a slowdown.
  cap_kind capped = cap_kind::none;
  std::uint32_t in_flight = 0;
  /// Estimated requests of other routers.
  double peer_in_flight = 0;
  /// Learned time at the server before the first token.
  double first_token_ms = 0;
  double per_token_ms = 0;
};

/// Counters, learned speed, window and ejection of one incarnation of a backend server.
///
/// Example:
///     server_offer offer = server.offer(sharing, rank, true, now);
///     if (offer.room[0]) { server.begin(now); }
/// Ownership: shared by the models it serves.  Thread safety: all members are thread safe.
class server_state {
 public:
  server_state(const backend_server& facts, const scheduler_settings& settings, server_speed prior);

  [[nodiscard]] const backend_server& facts() const { return facts_; }
  /// No new work from now on; cannot be undone.
  void set_leaving() { leaving_ = true; }
  [[nodiscard]] bool leaving() const { return leaving_; }
  /// \param honour_cap false: the cap is left out, because too many servers are capped.
  /// \param rank this router's place among those that use the server.
  [[nodiscard]] server_offer offer(const sharing& shared, std::uint32_t rank, bool honour_cap,
                                   time_point now) const;
  /// \returns requests of this router.
  [[nodiscard]] std::uint32_t in_flight() const;
  /// A request of this router was sent here.
  void begin(time_point now);
  /// A request of this router ended here.
  void end(time_point now);
  /// \param waited since dispatch.
  /// \param target for the first token, if the class has one.
  void on_first_token(duration waited, std::optional<duration> target, time_point now);
  void on_tokens(std::uint32_t count, duration span, time_point now);
  void on_success();
  void on_failure(time_point now);
  void on_busy(time_point now);
  void on_report(const load_report& report);
  [[nodiscard]] server_speed speed() const;
  [[nodiscard]] server_view view(time_point now) const;

 private:
  [[nodiscard]] double limit(const sharing& shared, std::uint32_t rank, tier service_tier,
                             time_point now) const;
  [[nodiscard]] double draw(const sharing& shared, time_point now) const;

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
