// JSON encodings shared by the router protocol and gossip.  Each parser returns nullopt for a value
// of the wrong shape.
#ifndef HAWTHORNNOTCH_RPC_FLEET_JSON_H_
#define HAWTHORNNOTCH_RPC_FLEET_JSON_H_

#include <boost/json/array.hpp>
#include <boost/json/value.hpp>
#include <optional>

#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/config/model.h"
#include "hawthornnotch/member/fleet.h"

namespace hawthornnotch::rpc {

// [backend_server, running, waiting, age_ms]
boost::json::array report_to_json(const load_report& report, time_point now);
std::optional<load_report> report_from_json(const boost::json::value& value, time_point now);

// [vm, waiting at tier 0, 1, 2, 3]
boost::json::array waiting_to_json(const peer_waiting& waiting);
std::optional<peer_waiting> waiting_from_json(const boost::json::value& value);

std::optional<workspace_parameters> workspace_from_json(const boost::json::value& value);

}  // namespace hawthornnotch::rpc

#endif  // HAWTHORNNOTCH_RPC_FLEET_JSON_H_
