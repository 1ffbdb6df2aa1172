/// \file
/// Settings of an agent.
#ifndef HAWTHORNNOTCH_AGENT_SETTINGS_H_
#define HAWTHORNNOTCH_AGENT_SETTINGS_H_

#include <boost/json/object.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/base/result.h"
#include "hawthornnotch/config/json_reader.h"
#include "hawthornnotch/lease/lease_holder.h"
#include "hawthornnotch/lease/order_planner.h"
#include "hawthornnotch/member/membership.h"
#include "hawthornnotch/observe/log.h"

namespace hawthornnotch::agent {

struct agent_settings {
  std::string vm;
  /// Incarnation in the platform's VM list; if empty, one is generated at start.
  std::string vm_incarnation;
  std::string failure_domain;
  /// Listener for peers, operators and health probes.
  endpoint listen;
  /// Client-facing address of this VM's router, published to peers.
  endpoint router;
  /// Control address of this VM's router, for `POST /rpc`.
  endpoint router_control;
  /// Addresses of the platform service.
  std::vector<endpoint> platform;
  /// Interval between gossip rounds.
  duration round_period{1'000};
  /// Interval between reads of the platform's VM list for agents that watch the platform, and for
  /// those that don't.
  duration list_period{2'000};
  duration slow_read_period{30'000};
  /// Interval between polls of a backend server's load.
  duration poll_period{1'000};
  /// Minimum interval between snapshots pushed to the router, and between snapshots in which only
  /// load data changed.
  duration push_period{250};
  duration load_push_period{1'000};
  /// Timeout of a call to a peer, to the router or to a backend server's `GET /load`.
  duration call_timeout{1'000};
  /// Timeout of an order to an engine.
  duration order_timeout{120'000};
  /// How long a leaving agent keeps notifying its peers before it stops.
  duration leave_notice{1'500};
  std::size_t threads = 2;
  member::membership_settings membership;
  lease::lease_settings lease;
  lease::planner_settings planner;
  observe::log_settings log;
};

/// Validates every key; unknown keys are refused.
/// \returns the settings, or the first failure with the path of its key.
result<agent_settings, settings_failure> parse_agent_settings(const boost::json::object& object);

}  // namespace hawthornnotch::agent

#endif  // HAWTHORNNOTCH_AGENT_SETTINGS_H_
