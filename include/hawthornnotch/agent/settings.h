/// \file
/// Settings of one agent.
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
  /// As the platform lists it; empty: one is made up at start.
  std::string vm_incarnation;
  std::string failure_domain;
  /// Peers, operators and probes.
  endpoint listen;
  /// Callers' address of this VM's router, told to peers.
  endpoint router;
  /// Control address of this VM's router.
  endpoint router_control;
  std::vector<endpoint> platform;
  /// Between two rounds of exchanges.
  duration round_period{1'000};
  /// Between two readings of the platform's list by an agent that watches, and by one that doesn't.
  duration list_period{2'000};
  duration slow_period{30'000};
  /// Between two load reports of a backend server.
  duration poll_period{1'000};
  /// Shortest time between two snapshots for the router, and between two for loads alone.
  duration push_period{250};
  duration load_push_period{1'000};
  /// Bound of one call to a peer, to the router or to an engine's load report.
  duration call_timeout{1'000};
  /// Bound of one order to an engine.
  duration order_timeout{120'000};
  /// How long a leaving agent goes on telling its peers.
  duration leave_notice{1'500};
  std::size_t threads = 2;
  member::membership_settings membership;
  lease::lease_settings lease;
  lease::planner_settings planner;
  observe::log_settings log;
};

/// Checks every key.  \returns the settings or the first failure.
result<agent_settings, settings_failure> parse_agent_settings(const boost::json::object& object);

}  // namespace hawthornnotch::agent

#endif  // HAWTHORNNOTCH_AGENT_SETTINGS_H_
