/// \file
/// What this process knows of one backend server from its own requests.
#ifndef HAWTHORNNOTCH_DISPATCH_SERVER_STATE_H_
#define HAWTHORNNOTCH_DISPATCH_SERVER_STATE_H_

#include <algorithm>
#include <cstdint>

#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/dispatch/prefix_cache.h"
#include "hawthornnotch/dispatch/quantile.h"
#include "hawthornnotch/policy/decaying_mean.h"

namespace hawthornnotch::dispatch {

/// How one sending of a request ended.
enum class send_end : std::uint8_t {
  completed,
  /// A whole answer that reports the server's own failure.
  server_error,
  /// The server refused the request without running it.
  refused,
  /// Another server answered at the address: the one that was meant has gone.
  wrong_server,
  /// No connection: nothing was sent.
  not_connected,
  /// Cut, malformed, silent or late.
  broken,
  /// The caller left or its time was over; says nothing about the server.
  abandoned,
};

/// Work of a server as the server itself counts it, of all its callers.
struct reported_load {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
};

/// Outcomes of one server: a share of failures, and a time during which it is avoided.
class server_health {
 public:
  void record(send_end end, time_point now);
  /// \returns the share of recent sendings that failed, 0 to 1.
  [[nodiscard]] double failure_share() const { return failures_.value(); }
  /// \returns whether the server is passed over while others can take the request.
  [[nodiscard]] bool avoided(time_point now) const {
    return now < avoid_until_ || now < gone_until_;
  }
  /// The server is gone: it is passed over for this long, `gone_avoidance` at most, unless it
  /// already is for longer.
  void leave_for(duration time, time_point now) {
    gone_until_ = std::max(gone_until_, now + std::min(time, gone_avoidance));
  }
  /// \returns how much longer it is passed over as gone; 0 or less where it is not.
  [[nodiscard]] duration gone_for(time_point now) const { return gone_until_ - now; }

 private:
  /// Age at which an outcome counts half.
  static constexpr duration half_life{2'000};
  /// First time of avoidance after a failure; doubles with each further failure in a row.
  static constexpr duration first_avoidance{250};
  static constexpr duration longest_avoidance{4'000};
  /// Time of avoidance of a server whose address another one has taken: the platform's list drops
  /// it meanwhile.  Such refusals come at once, so that it would look idle and draw work.
  static constexpr duration gone_avoidance{6'000};
  /// Weight of the assumption that a server does not fail.
  static constexpr double prior_weight = 2.0;
  policy::decaying_mean failures_{half_life, 0.0, prior_weight};
  std::uint32_t broken_in_row_ = 0;
  time_point avoid_until_;
  time_point gone_until_;
};

/// Requests, speed, health and cache of one start of a backend server.
struct server_state {
  /// Age at which what another entry VM has seen counts half.
  static constexpr duration pace_half_life{3'000};
  /// Weight of a mean's starting value: none, next to any sample.
  static constexpr double no_weight = 0.0001;
  /// Own gaps between events that tell more than what others have seen.
  static constexpr std::uint64_t enough_gaps = 40;

  /// Start that the state belongs to.
  std::int64_t born_ms = 0;
  /// Own requests sent and not ended.
  std::uint32_t running = 0;
  /// Own prompt tokens sent whose request has no first event yet.
  std::uint64_t prefill_tokens = 0;
  /// The same of other entry VMs.
  std::uint32_t peer_running = 0;
  std::uint64_t peer_prefill_tokens = 0;
  /// Time between two events of a stream when nothing disturbs it, in ms.
  running_quantile usual_gap{0.3};
  /// Time between two events that only few exceed, in ms.
  running_quantile long_gap{0.95};
  /// The same two times as other entry VMs have seen them.
  policy::decaying_mean peer_usual_gap{pace_half_life, 0.0, no_weight};
  policy::decaying_mean peer_long_gap{pace_half_life, 0.0, no_weight};
  /// Time to the whole answer, for servers that are no engines, in ms.
  policy::decaying_mean answer_ms{duration{3'000}, 0.0, no_weight};
  server_health health;
  prefix_cache cache;

  /// \returns the time between two events, seen here or else by others; 0 where it is unknown.
  [[nodiscard]] double known_usual_gap() const {
    return usual_gap.count() >= enough_gaps ? usual_gap.value() : peer_usual_gap.value();
  }
  /// \returns the time between two events that few exceed; 0 where it is unknown.
  [[nodiscard]] double known_long_gap() const {
    return long_gap.count() >= enough_gaps ? long_gap.value() : peer_long_gap.value();
  }
  /// \returns the mean time between two events, as the two quantiles suggest; 0 where it is
  /// unknown.
  [[nodiscard]] double known_mean_gap() const {
    constexpr double part_of_long = 0.25;
    return known_usual_gap() + part_of_long * (known_long_gap() - known_usual_gap());
  }
  [[nodiscard]] std::uint32_t all_running() const { return running + peer_running; }
  [[nodiscard]] std::uint64_t all_prefill_tokens() const {
    return prefill_tokens + peer_prefill_tokens;
  }
};

}  // namespace hawthornnotch::dispatch

#endif  // HAWTHORNNOTCH_DISPATCH_SERVER_STATE_H_
