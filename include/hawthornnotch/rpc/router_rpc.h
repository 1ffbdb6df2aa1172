/// \file
/// What an agent and the router of its VM tell each other.
#ifndef HAWTHORNNOTCH_RPC_ROUTER_RPC_H_
#define HAWTHORNNOTCH_RPC_ROUTER_RPC_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/base/result.h"
#include "hawthornnotch/config/model.h"
#include "hawthornnotch/member/fleet.h"
#include "hawthornnotch/rpc/method_server.h"

namespace hawthornnotch::rpc {

/// Everything that a router needs from the control side, at one version.
struct router_snapshot {
  std::string agent_incarnation;
  /// Rises with every change within one agent incarnation.
  std::uint64_t version = 0;
  fleet_snapshot fleet;
  workspace_table workspaces;
  /// True once the workspaces are known to be all there are; a router is not ready before.
  bool complete = false;
};

/// How a router stands.
struct router_status {
  std::string incarnation;
  /// The agent whose snapshot is in force, empty for none.
  std::string agent_incarnation;
  std::uint64_t applied_version = 0;
  bool draining = false;
  std::uint32_t in_flight = 0;
  std::uint32_t waiting_by_tier[tier_count] = {};
  /// Revision in force of each workspace.
  std::map<std::string, std::uint64_t> revisions;
};

/// Names of the methods that a router answers.
inline constexpr std::string_view apply_method = "apply";
inline constexpr std::string_view status_method = "status";

/// \param now when the text is written; load reports travel as ages.
std::string encode(const router_snapshot& snapshot, time_point now);
/// \param now when the text is read.
result<router_snapshot, codec_fault> decode_router_snapshot(std::string_view text, time_point now);
std::string encode(const router_status& status);
result<router_status, codec_fault> decode_router_status(std::string_view text);

/// The router's side: JSON-RPC methods `apply` and `status`, both of which answer the status.
///
/// Example:
///     auto server = router_rpc_server::create(apply, status);
///     net::http_response answer{200, {}, server->handle(request.body)};
///     co_await writer.send(std::move(answer));
/// Ownership: owns the callbacks.  Thread safety: `handle` is thread safe if the callbacks are.
class router_rpc_server {
 public:
  using apply_callback = std::function<router_status(router_snapshot)>;
  using status_callback = std::function<router_status()>;
  /// \param apply takes a snapshot into force; one that is older than what is in force within the
  ///        same agent incarnation is ignored.  Ages are turned into `system_clock` times.
  [[nodiscard]] static std::unique_ptr<router_rpc_server> create(apply_callback apply,
                                                                 status_callback status);
  /// \returns the JSON-RPC answer to the body of a `POST /rpc`.
  [[nodiscard]] std::string handle(std::string_view request_body);

 private:
  explicit router_rpc_server(std::unique_ptr<method_server> methods);
  std::unique_ptr<method_server> methods_;
};

}  // namespace hawthornnotch::rpc

#endif  // HAWTHORNNOTCH_RPC_ROUTER_RPC_H_
