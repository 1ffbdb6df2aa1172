#include "hawthornnotch/dispatch/server_state.h"

#include <algorithm>

namespace hawthornnotch::dispatch {

void server_health::record(attempt_end end, time_point now) {
  switch (end) {
    case attempt_end::abandoned:
    case attempt_end::pause_requested:
      return;
    case attempt_end::completed:
      broken_in_row_ = 0;
      failures_.add(0.0, 1.0, now);
      return;
    case attempt_end::server_error:
    case attempt_end::refused:
      failures_.add(1.0, 1.0, now);
      return;
    case attempt_end::wrong_server:
      failures_.add(1.0, 1.0, now);
      leave_for(gone_avoidance, now);
      return;
    case attempt_end::connect_failed:
    case attempt_end::broken:
      break;
  }
  failures_.add(1.0, 1.0, now);
  duration pause = first_avoidance;
  for (std::uint32_t index = 0; index < broken_in_row_ && pause < longest_avoidance; ++index) {
    pause = pause * 2;
  }
  ++broken_in_row_;
  avoid_until_ = std::max(avoid_until_, now + std::min(pause, longest_avoidance));
}

void stream_pace::seen(double gap_ms, time_point now) {
  usual_.add(gap_ms);
  long_.add(gap_ms);
  last_seen_ = now;
}

void stream_pace::heard(double usual_ms, double long_ms, time_point now) {
  peer_usual_.add(usual_ms, 1.0, now);
  peer_long_.add(long_ms, 1.0, now);
}

bool stream_pace::fresh(time_point now) const {
  return own_known() && now - last_seen_ <= own_lifetime;
}

bool stream_pace::by_own(time_point now) const {
  const bool others_know = peer_usual_.value() > 0;
  return fresh(now) || (own_known() && !others_know);
}

double stream_pace::usual_ms(time_point now) const {
  return by_own(now) ? usual_.value() : peer_usual_.value();
}

double stream_pace::long_ms(time_point now) const {
  return by_own(now) ? long_.value() : peer_long_.value();
}

double stream_pace::mean_ms(time_point now) const {
  constexpr double part_of_long = 0.25;
  return usual_ms(now) + part_of_long * (long_ms(now) - usual_ms(now));
}

}  // namespace hawthornnotch::dispatch
