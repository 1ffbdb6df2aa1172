/// \file
/// Messages and methods between an agent and the router of its VM.
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

/// Everything that a router needs from its agent, at one version.
struct router_snapshot {
  std::string agent_incarnation;
  /// Increases with every change within one agent incarnation.
  std::uint64_t version = 0;
  fleet_snapshot fleet;
  workspace_table workspaces;
  /// True once the workspace table is known to be complete; a router is not ready before that.
  bool complete = false;
};

/// Status of a router.
struct router_status {
  std::string incarnation;
  /// Incarnation of the agent whose snapshot is applied; empty for none.
  std::string agent_incarnation;
  std::uint64_t applied_version = 0;
  bool draining = false;
  std::uint32_t in_flight = 0;
  std::uint32_t waiting_by_tier[tier_count] = {};
  /// Applied revision of each workspace.
  std::map<std::string, std::uint64_t> revisions;
};

/// JSON-RPC methods of a router.
inline constexpr std::string_view apply_method = "apply";
inline constexpr std::string_view status_method = "status";

/// \param now time of encoding; load reports are sent as ages.
std::string encode(const router_snapshot& snapshot, time_point now);
/// \param now time of receipt, from which ages are subtracted.
/// \returns the snapshot; `malformed_json` for text that is not JSON, `wrong_shape` if any field is
///          missing or has the wrong type.
result<router_snapshot, codec_fault> decode_router_snapshot(std::string_view text, time_point now);
std::string encode(const router_status& status);
result<router_status, codec_fault> decode_router_status(std::string_view text);

/// Server side of a router: JSON-RPC methods `apply` and `status`, both of which return the status.
/// A snapshot that can't be decoded is answered with a JSON-RPC error and is not applied.
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
  /// \param apply applies a snapshot; it must ignore one that is older than the applied snapshot of
  ///        the same agent incarnation.  Report times are in `system_clock` time.
  [[nodiscard]] static std::unique_ptr<router_rpc_server> create(apply_callback apply,
                                                                 status_callback status);
  /// \returns the JSON-RPC response to the body of a `POST /rpc`.
  [[nodiscard]] std::string handle(std::string_view request_body);

 private:
  explicit router_rpc_server(std::unique_ptr<method_server> methods);
  std::unique_ptr<method_server> methods_;
};

}  // namespace hawthornnotch::rpc

#endif  // HAWTHORNNOTCH_RPC_ROUTER_RPC_H_
