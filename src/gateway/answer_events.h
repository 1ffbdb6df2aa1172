// Metrics of answers of backend servers that are no answers.
#ifndef HAWTHORNNOTCH_SRC_GATEWAY_ANSWER_EVENTS_H_
#define HAWTHORNNOTCH_SRC_GATEWAY_ANSWER_EVENTS_H_

#include <string_view>

#include "gateway_state.h"
#include "hawthornnotch/net/http_message.h"

namespace hawthornnotch::gateway::internal {

// Counts the attempt if it failed since the server's answer was malformed.
void count_malformed_answer(gateway_state& shared, std::string_view service,
                            const net::net_failure& failure);

}  // namespace hawthornnotch::gateway::internal

#endif  // HAWTHORNNOTCH_SRC_GATEWAY_ANSWER_EVENTS_H_
