// Answers that the gateway gives itself.
#ifndef HAWTHORNNOTCH_SRC_GATEWAY_OWN_ANSWER_H_
#define HAWTHORNNOTCH_SRC_GATEWAY_OWN_ANSWER_H_

#include <cstdint>
#include <optional>
#include <string_view>

#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/net/http_message.h"

namespace hawthornnotch::gateway::internal {

// Why the gateway answers a request itself.
enum class own_answer : std::uint8_t {
  // Not run and never will be.
  no_configuration,
  no_route,
  unknown_api_key,
  no_server,
  servers_refused,
  overloaded,
  time_over_unsent,
  stopping,
  // May have run.
  server_failed,
  time_over,
};

std::string_view to_string(own_answer why);
unsigned status_of(own_answer why);
// \param retry_after when to come back; none where coming back does not help.
net::http_response to_response(own_answer why, std::optional<duration> retry_after);

}  // namespace hawthornnotch::gateway::internal

#endif  // HAWTHORNNOTCH_SRC_GATEWAY_OWN_ANSWER_H_
