#include "answer_events.h"

namespace hawthornnotch::gateway::internal {

void count_malformed_answer(gateway_state& shared, std::string_view service,
                            const net::net_failure& failure) {
  if (failure.kind == net::net_failure_kind::malformed) {
    shared.metrics->count("hawthornnotch_answers_malformed_total", {{"service", service}});
  }
}

}  // namespace hawthornnotch::gateway::internal
