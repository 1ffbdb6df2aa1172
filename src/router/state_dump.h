// The router's whole state as JSON, bounded.
#ifndef HAWTHORNNOTCH_SRC_ROUTER_STATE_DUMP_H_
#define HAWTHORNNOTCH_SRC_ROUTER_STATE_DUMP_H_

#include <optional>
#include <string>

#include "lifecycle.h"
#include "services.h"

namespace hawthornnotch::router::internal {

// Sizes that only the listeners know.
struct listener_counts {
  std::size_t connections = 0;
  std::size_t requests = 0;
};

std::string dump_json(const services& shared, const lifecycle& phases, std::string_view incarnation,
                      listener_counts counts);
// \returns nothing where the request is unknown or forgotten.
std::optional<std::string> explain_json(const services& shared, std::string_view request_id);

}  // namespace hawthornnotch::router::internal

#endif  // HAWTHORNNOTCH_SRC_ROUTER_STATE_DUMP_H_
