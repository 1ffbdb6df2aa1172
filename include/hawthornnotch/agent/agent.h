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

/// Why an agent did not start: its listener or its platform addresses.
using start_failure = std::variant<net::net_failure, platform::platform_failure>;

/// Finds peers, follows the platform, polls backend servers, keeps the router of its VM at the
/// newest snapshot and, while it holds the lease, gives engine orders.
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
  /// Runs until stopped; peers have then been told and calls in progress have been answered.
  virtual void run() = 0;
  /// Begins to stop; a second call changes nothing.
  virtual void stop() = 0;
  /// \returns the port the listener took.
  [[nodiscard]] virtual std::uint16_t port() const = 0;
};

}  // namespace hawthornnotch::agent

#endif  // HAWTHORNNOTCH_AGENT_AGENT_H_
