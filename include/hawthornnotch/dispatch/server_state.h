/// \file
/// Load, speed and health of one backend server as known to this process.
#ifndef HAWTHORNNOTCH_DISPATCH_SERVER_STATE_H_
#define HAWTHORNNOTCH_DISPATCH_SERVER_STATE_H_

#include <algorithm>
#include <cstdint>
#include <optional>

#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/dispatch/prefix_cache.h"
#include "hawthornnotch/dispatch/quantile.h"
#include "hawthornnotch/dispatch/reported_speed.h"
#include "hawthornnotch/dispatch/reported_work.h"
#include "hawthornnotch/policy/decaying_mean.h"

namespace hawthornnotch::dispatch {

/// Prior weight that is negligible beside any sample.
inline constexpr double negligible_weight = 0.0001;

/// How an attempt ended.
enum class attempt_end : std::uint8_t {
  completed,
  /// A complete answer that reports an internal error of the server.
  server_error,
  /// The server refused the request without running it.
  refused,
  /// As `refused`, and the server asked for a pause: it is overloaded, not failing.
  pause_requested,
  /// Another server answered at the address, so the intended one is absent.
  wrong_server,
  /// No connection was established; nothing was sent.
  connect_failed,
  /// The answer was interrupted, malformed, stalled or late.
  broken,
  /// The caller disconnected or its deadline passed; not counted for or against the server.
  abandoned,
};

/// Load that a server reports for all its callers together.
struct reported_load {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
  /// How long work takes there at the moment, as a multiple of the usual time; none if not told.
  std::optional<double> slowness = std::nullopt;
};

/// Failure rate of one server and the periods during which it is avoided.
///
/// A server is avoided for an exponentially growing time after failed connections and broken
/// answers, and for a fixed time when another server has taken over its address.
class server_health {
 public:
  /// Records the outcome of an attempt.
  void record(attempt_end end, time_point now);
  /// \returns the fraction of recent attempts that failed, 0 to 1.
  [[nodiscard]] double failure_share() const { return failures_.value(); }
  /// \returns whether the server is to be chosen only if no other can take the request.
  [[nodiscard]] bool avoided(time_point now) const {
    return now < avoid_until_ || now < absent_until_;
  }
  /// Marks the server as absent for `time`, at most `absence_duration`; never shortens the period.
  void mark_absent(duration time, time_point now) {
    absent_until_ = std::max(absent_until_, now + std::min(time, absence_duration));
  }
  /// \returns the remaining time for which the server counts as absent; 0 or less if it does not.
  [[nodiscard]] duration absent_for(time_point now) const { return absent_until_ - now; }

 private:
  /// Age at which an outcome has half its weight.
  static constexpr duration half_life{2'000};
  /// Avoidance time after a failure; doubles with each consecutive failure.
  static constexpr duration initial_avoidance{250};
  static constexpr duration max_avoidance{4'000};
  /// Avoidance time of a server whose address another one has taken over; the platform's list drops
  /// it meanwhile.  Such refusals are immediate, so the server would look idle and attract work.
  static constexpr duration absence_duration{6'000};
  /// Weight of the prior failure rate of 0, in samples.
  static constexpr double prior_weight = 2.0;
  policy::decaying_mean failures_{half_life, 0.0, prior_weight};
  std::uint32_t consecutive_failures_ = 0;
  time_point avoid_until_;
  time_point absent_until_;
};

/// Gaps between the events of one server's streams, as observed here and by other entry VMs.
///
/// A server's gaps depend on the prompts it is prefilling at the moment, and in a large fleet each
/// entry VM sends it a stream only every many seconds.  Local observations are therefore used while
/// they are fresh, and those of peers otherwise.
class stream_pace {
 public:
  /// Records that an event of a local stream arrived `gap_ms` after the previous one.
  void record_local(double gap_ms, time_point now);
  /// Records gaps that another entry VM has just observed, in ms.
  void record_peer(double usual_gap_ms, double long_gap_ms, time_point now);
  /// \returns whether local observations are numerous and recent enough to be gossiped.
  [[nodiscard]] bool is_fresh(time_point now) const;
  /// \returns the gap between two events of an undisturbed stream, in ms; 0 if unknown.
  [[nodiscard]] double usual_gap_ms(time_point now) const;
  /// \returns the 95th percentile of the gaps, in ms; 0 if unknown.
  [[nodiscard]] double long_gap_ms(time_point now) const;
  /// \returns the mean gap, interpolated from the two others, in ms; 0 if unknown.
  [[nodiscard]] double mean_gap_ms(time_point now) const;

 private:
  /// Local samples required before they are preferred to those of peers.
  static constexpr std::uint64_t min_local_gaps = 40;
  /// Age up to which local samples are preferred to those of peers.
  static constexpr duration local_lifetime{2'000};
  /// Age at which a peer's observation has half its weight.
  static constexpr duration peer_half_life{3'000};
  [[nodiscard]] bool has_local() const { return usual_.count() >= min_local_gaps; }
  [[nodiscard]] bool prefers_local(time_point now) const;

  running_quantile usual_{0.3};
  running_quantile long_{0.95};
  time_point last_local_at_;
  policy::decaying_mean peer_usual_{peer_half_life, 0.0, negligible_weight};
  policy::decaying_mean peer_long_{peer_half_life, 0.0, negligible_weight};
};

/// The time for which an overloaded server has asked this VM to send no requests.
///
/// Under overload, further requests only cost a server the time to refuse them.  A pause does not
/// affect the server's health.
class server_pause {
 public:
  /// Pauses the server for `time` from now; never shortens a pause.
  void extend(duration time, time_point now) { until_ = std::max(until_, now + time); }
  /// \returns the remaining time of the pause; 0 or less if it is over.
  [[nodiscard]] duration remaining(time_point now) const { return until_ - now; }
  [[nodiscard]] bool is_active(time_point now) const { return now < until_; }

 private:
  time_point until_;
};

/// Requests, speed, health and cache of one incarnation of a backend server.
struct server_state {
  /// Identifies the incarnation, see `server_entry::start_time_ms`.
  std::int64_t start_time_ms = 0;
  /// Running requests of this process.
  std::uint32_t running = 0;
  /// Prompt tokens of this process's requests that have no first event yet.
  std::uint64_t prefill_tokens = 0;
  /// Requests of this process that have no first event yet.
  std::uint32_t unstarted = 0;
  /// Running gap-sensitive streams of this process.
  std::uint32_t sensitive = 0;
  /// The same for other entry VMs.
  std::uint32_t peer_running = 0;
  std::uint64_t peer_prefill_tokens = 0;
  std::uint32_t peer_sensitive = 0;
  /// Sort key for reserving servers for streams; the same on all entry VMs.
  std::uint64_t reserve_order = 0;
  stream_pace pace;
  reported_speed speed;
  reported_work report;
  /// The last slowness that this VM told others differs from the usual one.
  bool shared_as_unusual = false;
  /// Time to the complete answer in ms; for servers that are not engines.
  policy::decaying_mean answer_ms{duration{3'000}, 0.0, negligible_weight};
  server_health health;
  server_pause pause;
  prefix_cache cache;

  [[nodiscard]] std::uint32_t all_running() const { return running + peer_running; }
  /// \returns as `all_running`, of other VMs by the server's own report while that is fresh.
  [[nodiscard]] std::uint32_t known_running(time_point now) const {
    return running + (report.is_fresh(now) ? report.others() : peer_running);
  }
  /// \returns as `all_prefill_tokens`, of other VMs within what the server's report allows while
  /// that is fresh: at least those of the requests that wait, at most those of all it holds.
  /// \param prompt_tokens mean of a prompt.
  [[nodiscard]] double known_prefill_tokens(double prompt_tokens, time_point now) const {
    auto others = static_cast<double>(peer_prefill_tokens);
    if (report.is_fresh(now)) {
      others = std::clamp(others, report.others_waiting() * prompt_tokens,
                          report.others() * prompt_tokens);
    }
    return static_cast<double>(prefill_tokens) + others;
  }
  [[nodiscard]] std::uint64_t all_prefill_tokens() const {
    return prefill_tokens + peer_prefill_tokens;
  }
};

}  // namespace hawthornnotch::dispatch

#endif  // HAWTHORNNOTCH_DISPATCH_SERVER_STATE_H_
