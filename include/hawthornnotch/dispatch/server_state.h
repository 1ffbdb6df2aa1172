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

/// Weight of a mean's starting value: none, next to any sample.
inline constexpr double no_weight = 0.0001;

/// How one sending of a request ended.
enum class attempt_end : std::uint8_t {
  completed,
  /// A whole answer that reports the server's own failure.
  server_error,
  /// The server refused the request without running it.
  refused,
  /// The same, and the server said for how long it wants nothing more: it is full, not failing.
  pause_requested,
  /// Another server answered at the address: the one that was meant has gone.
  wrong_server,
  /// No connection: nothing was sent.
  connect_failed,
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
  void record(attempt_end end, time_point now);
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

/// Times between the events of one server's streams, as seen here and by other entry VMs.
///
/// The load pattern it answers: a server's pauses follow the prompts that it reads at the moment,
/// and in a large fleet each entry VM sends it a stream in many seconds only.  So own values count
/// while they are fresh, and those of others after that.
class stream_pace {
 public:
  /// An own stream's event came `gap_ms` after the one before.
  void seen(double gap_ms, time_point now);
  /// Another entry VM has just seen these times, in ms.
  void heard(double usual_ms, double long_ms, time_point now);
  /// \returns whether own streams have told enough, lately enough, to tell others.
  [[nodiscard]] bool fresh(time_point now) const;
  /// \returns the time between two events when nothing disturbs a stream, in ms; 0 if unknown.
  [[nodiscard]] double usual_ms(time_point now) const;
  /// \returns the time between two events that few exceed, in ms; 0 if unknown.
  [[nodiscard]] double long_ms(time_point now) const;
  /// \returns the mean time between two events, as the two others suggest, in ms; 0 if unknown.
  [[nodiscard]] double mean_ms(time_point now) const;

 private:
  /// Own gaps that tell more than what others have seen.
  static constexpr std::uint64_t enough_gaps = 40;
  /// Age up to which own gaps are taken before what others have seen.
  static constexpr duration own_lifetime{2'000};
  /// Age at which what another entry VM has seen counts half.
  static constexpr duration peer_half_life{3'000};
  [[nodiscard]] bool own_known() const { return usual_.count() >= enough_gaps; }
  [[nodiscard]] bool by_own(time_point now) const;

  running_quantile usual_{0.3};
  running_quantile long_{0.95};
  time_point last_seen_;
  policy::decaying_mean peer_usual_{peer_half_life, 0.0, no_weight};
  policy::decaying_mean peer_long_{peer_half_life, 0.0, no_weight};
};

/// The time for which a full server wants nothing more from this VM.
///
/// The load pattern it answers: more work than the servers have room for, where each further
/// request only takes a server's time to refuse it.  It says nothing of the server's health.
class server_pause {
 public:
  /// The server asks for this time from now on; of several the latest end holds.
  void ask(duration time, time_point now) { until_ = std::max(until_, now + time); }
  /// \returns how much longer the server wants nothing; 0 or less where it takes work.
  [[nodiscard]] duration remaining(time_point now) const { return until_ - now; }
  [[nodiscard]] bool lasts(time_point now) const { return now < until_; }

 private:
  time_point until_;
};

/// Requests, speed, health and cache of one start of a backend server.
struct server_state {
  /// Start that the state belongs to.
  std::int64_t start_time_ms = 0;
  /// Own requests sent and not ended.
  std::uint32_t running = 0;
  /// Own prompt tokens sent whose request has no first event yet.
  std::uint64_t prefill_tokens = 0;
  /// Own streams among them whose callers bear only short pauses.
  std::uint32_t sensitive = 0;
  /// The same of other entry VMs.
  std::uint32_t peer_running = 0;
  std::uint64_t peer_prefill_tokens = 0;
  std::uint32_t peer_sensitive = 0;
  /// Place in the order in which servers are kept for streams; the same on all entry VMs.
  std::uint64_t stream_order = 0;
  stream_pace pace;
  /// Time to the whole answer, for servers that are no engines, in ms.
  policy::decaying_mean answer_ms{duration{3'000}, 0.0, no_weight};
  server_health health;
  server_pause pause;
  prefix_cache cache;

  [[nodiscard]] std::uint32_t all_running() const { return running + peer_running; }
  [[nodiscard]] std::uint64_t all_prefill_tokens() const {
    return prefill_tokens + peer_prefill_tokens;
  }
};

}  // namespace hawthornnotch::dispatch

#endif  // HAWTHORNNOTCH_DISPATCH_SERVER_STATE_H_
