/// \file
/// The VMs of a failure domain and the servers that run on them, as an immutable snapshot.
#ifndef HAWTHORNNOTCH_MEMBER_FLEET_H_
#define HAWTHORNNOTCH_MEMBER_FLEET_H_

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/config/model.h"

namespace hawthornnotch {

/// An address on which a process listens.
struct endpoint {
  std::string address;
  std::uint16_t port = 0;
  bool operator==(const endpoint&) const = default;
  bool operator<(const endpoint& other) const {
    return std::tie(address, port) < std::tie(other.address, other.port);
  }
};

enum class backend_kind : std::uint8_t { engine, service };

/// One model engine or plain service.
struct backend_server {
  std::string id;
  /// Differs for each start of the VM under the same id.
  std::string incarnation;
  std::string failure_domain;
  endpoint address;
  backend_kind kind = backend_kind::engine;
  /// Models served by an engine, or the name of the one service.
  std::vector<std::string> serves;
  /// Requests that the server runs concurrently without queueing.
  std::uint32_t slots = 8;
  /// True once announced or listed as leaving; never reset for this incarnation.
  bool leaving = false;
  /// True if the server rejects an order with an outdated fencing number.
  bool checks_fencing = false;
  bool operator==(const backend_server&) const = default;
};

/// The newest load report of a backend server.
struct load_report {
  std::string backend_server;
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  /// Time of the measurement by this process's monotonic clock.
  time_point measured;
  bool operator==(const load_report&) const = default;
};

/// One entry VM: its agent and its router.
struct entry_vm {
  std::string id;
  std::string incarnation;
  std::string failure_domain;
  endpoint agent;
  endpoint router;
  bool leaving = false;
  bool operator==(const entry_vm&) const = default;
};

/// Requests waiting at one peer router, by tier.
struct peer_waiting {
  std::string vm;
  std::uint32_t by_tier[tier_count] = {};
};

/// A router's view of its failure domain.
struct fleet_snapshot {
  /// Increases with every change within one agent incarnation.
  std::uint64_t version = 0;
  std::vector<backend_server> backend_servers;
  /// Routers that share the backend servers, this one included.
  std::vector<entry_vm> entry_vms;
  std::vector<load_report> reports;
  std::vector<peer_waiting> waiting;
};

}  // namespace hawthornnotch

#endif  // HAWTHORNNOTCH_MEMBER_FLEET_H_
