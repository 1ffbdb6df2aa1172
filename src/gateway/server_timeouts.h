// Timeouts of connections to backend servers, of this VM's requests and of those that it forwards.
#ifndef HAWTHORNNOTCH_SRC_GATEWAY_SERVER_TIMEOUTS_H_
#define HAWTHORNNOTCH_SRC_GATEWAY_SERVER_TIMEOUTS_H_

#include "hawthornnotch/base/clock.h"

namespace hawthornnotch::gateway::internal {

inline constexpr duration server_connect_timeout{300};
// A connection is closed when sent bytes stay unacknowledged for this long.
inline constexpr duration server_tcp_user_timeout{1'500};

}  // namespace hawthornnotch::gateway::internal

#endif  // HAWTHORNNOTCH_SRC_GATEWAY_SERVER_TIMEOUTS_H_
