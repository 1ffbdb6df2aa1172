/// \file
/// The control process of one entry VM.
#ifndef HAWTHORNNOTCH_AGENT_AGENT_H_
#define HAWTHORNNOTCH_AGENT_AGENT_H_

#include <cstdint>
#include <memory>
#include <variant>

#include "hawthornnotch/agent/settings.h"
#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/base/result.h"
#include "hawthornnotch/net/http_message.h"
#include "hawthornnotch/platform/client.h"

namespace hawthornnotch::agent {

/// Why an agent could not start: its listener or its platform addresses.
using start_failure = std::variant<net::net_failure, platform::platform_failure>;

/// Gossips with peers, follows the platform, polls backend servers, pushes snapshots to the router
/// of its VM and, while it holds the lease, sends engine orders.
///
/// No dependency has to be up at start: calls to the platform, peers, backend servers and the
/// router are retried until the agent stops.  `create` fails only if the listener can't be opened
/// or the platform addresses are unusable.
///
/// Example:
///     auto made = agent::create(settings, time);
///     return (*made)->run();   // until SIGTERM, SIGINT or a drain
/// Ownership: owns its threads and connections.  Thread safety: `stop` may be called from any
/// thread.
class agent {
 public:
  [[nodiscard]] static result<std::unique_ptr<agent>, start_failure> create(agent_settings settings,
                                                                            const clock& time);
  virtual ~agent() = default;
  /// Blocks until the agent is stopped: it notifies peers that it leaves, waits for calls in
  /// progress up to a time limit, and ends its threads.
  virtual void run() = 0;
  /// Starts the shutdown and returns at once.  Idempotent.
  virtual void stop() = 0;
  /// \returns the port that the listener is bound to.
  [[nodiscard]] virtual std::uint16_t port() const = 0;
};

}  // namespace hawthornnotch::agent

#endif  // HAWTHORNNOTCH_AGENT_AGENT_H_
