/// \file
/// One entry VM's process: callers' door, dispatch to backend servers, knowledge from the
/// platform's store and from the other entry VMs.
#ifndef HAWTHORNNOTCH_GATEWAY_GATEWAY_H_
#define HAWTHORNNOTCH_GATEWAY_GATEWAY_H_

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <memory>

#include "hawthornnotch/base/result.h"
#include "hawthornnotch/gateway/protocol.h"
#include "hawthornnotch/gateway/settings.h"
#include "hawthornnotch/net/http_client.h"
#include "hawthornnotch/platform/client.h"

namespace hawthornnotch::gateway {

/// Makes the client of the platform's store.
using store_factory = std::function<std::unique_ptr<platform::long_poll_store>(
    boost::asio::any_io_executor executor, const endpoint& store, net::http_client& http)>;

/// Runs on one thread: an entry VM has a fraction of a core.
///
/// Example:
///     auto made = gateway::create(settings, wire, make_store);
///     if (!made) { report(made.last_reason()); }
///     (*made)->run();
/// Ownership: refers to the protocol, which outlives it.  Thread safety: none, but for
/// `begin_stop`, which may be called from any thread.
class gateway {
 public:
  [[nodiscard]] static result<std::unique_ptr<gateway>, net::net_failure> create(
      gateway_settings settings, const protocol& wire, const store_factory& make_store);
  virtual ~gateway() = default;
  /// Serves until a stop has ended.  \returns whether every request in progress was finished.
  virtual bool run() = 0;
  /// Not ready from now on; requests are served until the balancer has noticed and all have ended.
  virtual void begin_stop() = 0;
  /// Takes over settings that can change while the process runs: seeds and retries.
  virtual void reload(gateway_settings settings) = 0;
  /// \returns what runs the process, for signals and timers of the program.
  [[nodiscard]] virtual boost::asio::any_io_executor executor() = 0;
  [[nodiscard]] virtual std::uint16_t caller_port() const = 0;
  [[nodiscard]] virtual std::uint16_t readiness_port() const = 0;
  [[nodiscard]] virtual std::uint16_t peer_port() const = 0;
  [[nodiscard]] virtual std::uint16_t metrics_port() const = 0;
};

}  // namespace hawthornnotch::gateway

#endif  // HAWTHORNNOTCH_GATEWAY_GATEWAY_H_
