// The router's state as JSON of bounded size.
#ifndef HAWTHORNNOTCH_SRC_ROUTER_STATE_DUMP_H_
#define HAWTHORNNOTCH_SRC_ROUTER_STATE_DUMP_H_

#include <optional>
#include <string>

#include "lifecycle.h"
#include "router_components.h"

namespace hawthornnotch::router::internal {

// Counts of the callers' listener.
struct listener_counts {
  std::size_t connections = 0;
  std::size_t requests = 0;
};

// \returns the state for /dump.  Lists of servers and workspaces are truncated.
std::string dump_json(const router_components& shared, const lifecycle& phases,
                      std::string_view incarnation, listener_counts counts);
// \returns the steps of a request with its scheduler events, or nothing if the request is unknown
// or no longer kept.
std::optional<std::string> explain_json(const router_components& shared,
                                        std::string_view request_id);

}  // namespace hawthornnotch::router::internal

#endif  // HAWTHORNNOTCH_SRC_ROUTER_STATE_DUMP_H_
