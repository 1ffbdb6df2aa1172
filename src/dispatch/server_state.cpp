#include "hawthornnotch/dispatch/server_state.h"

#include <algorithm>

namespace hawthornnotch::dispatch {

void server_health::record(attempt_end end, time_point now) {
  switch (end) {
    case attempt_end::abandoned:
    case attempt_end::pause_requested:
      return;
    case attempt_end::completed:
      consecutive_failures_ = 0;
      failures_.add(0.0, 1.0, now);
      return;
    case attempt_end::server_error:
    case attempt_end::refused:
      failures_.add(1.0, 1.0, now);
      return;
    case attempt_end::wrong_server:
      failures_.add(1.0, 1.0, now);
      mark_absent(absence_duration, now);
      return;
    case attempt_end::connect_failed:
    case attempt_end::broken:
      break;
  }
  failures_.add(1.0, 1.0, now);
  duration avoidance = initial_avoidance;
  for (std::uint32_t index = 0; index < consecutive_failures_ && avoidance < max_avoidance;
       ++index) {
    avoidance = avoidance * 2;
  }
  ++consecutive_failures_;
  avoid_until_ = std::max(avoid_until_, now + std::min(avoidance, max_avoidance));
}

void stream_pace::record_local(double gap_ms, time_point now) {
  usual_.add(gap_ms);
  long_.add(gap_ms);
  last_local_at_ = now;
}

void stream_pace::record_peer(double usual_gap_ms, double long_gap_ms, time_point now) {
  peer_usual_.add(usual_gap_ms, 1.0, now);
  peer_long_.add(long_gap_ms, 1.0, now);
}

bool stream_pace::is_fresh(time_point now) const {
  return has_local() && now - last_local_at_ <= local_lifetime;
}

bool stream_pace::prefers_local(time_point now) const {
  const bool has_peer = peer_usual_.value() > 0;
  return is_fresh(now) || (has_local() && !has_peer);
}

double stream_pace::usual_gap_ms(time_point now) const {
  return prefers_local(now) ? usual_.value() : peer_usual_.value();
}

double stream_pace::long_gap_ms(time_point now) const {
  return prefers_local(now) ? long_.value() : peer_long_.value();
}

double stream_pace::mean_gap_ms(time_point now) const {
  constexpr double part_of_long = 0.25;
  return usual_gap_ms(now) + part_of_long * (long_gap_ms(now) - usual_gap_ms(now));
}

}  // namespace hawthornnotch::dispatch
