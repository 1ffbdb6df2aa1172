#include "hawthornnotch/dispatch/server_state.h"

#include <algorithm>

namespace hawthornnotch::dispatch {

void server_health::record(send_end end, time_point now) {
  switch (end) {
    case send_end::abandoned:
      return;
    case send_end::completed:
      broken_in_row_ = 0;
      failures_.add(0.0, 1.0, now);
      return;
    case send_end::server_error:
    case send_end::refused:
      failures_.add(1.0, 1.0, now);
      return;
    case send_end::wrong_server:
      failures_.add(1.0, 1.0, now);
      leave_for(gone_avoidance, now);
      return;
    case send_end::not_connected:
    case send_end::broken:
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

}  // namespace hawthornnotch::dispatch
