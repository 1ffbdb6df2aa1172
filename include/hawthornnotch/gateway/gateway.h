/// \file
/// The process of one entry VM: accepts callers' requests, dispatches them to backend servers, and
/// syncs its state with the platform's store and the other entry VMs.
#ifndef HAWTHORNNOTCH_GATEWAY_GATEWAY_H_
#define HAWTHORNNOTCH_GATEWAY_GATEWAY_H_

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <memory>

#include "hawthornnotch/base/result.h"
#include "hawthornnotch/gateway/control_plane.h"
#include "hawthornnotch/gateway/protocol.h"
#include "hawthornnotch/gateway/settings.h"
#include "hawthornnotch/net/http_client.h"
#include "hawthornnotch/platform/client.h"

namespace hawthornnotch::gateway {

/// Creates the client of the platform's store.
using store_factory = std::function<std::unique_ptr<platform::long_poll_store>(
    boost::asio::any_io_executor executor, const endpoint& store, net::http_client& http)>;

/// Listens for callers, readiness probes, peers and metrics of one entry VM.  Runs on one thread,
/// since an entry VM has a fraction of a core.
///
/// Requests are served from the last known configuration and server list while the store or the
/// peers are unreachable.  Until the first ones are known, the process is not ready: it holds
/// requests for a short time, then answers 503.
///
/// Example:
///     auto made = gateway::create(settings, wire, make_store);
///     if (!made) { report(made.last_reason()); }
///     (*made)->run();
/// Ownership: refers to the protocol, which outlives it.  Thread safety: none, except for
/// `begin_stop`, which may be called from any thread.
class gateway {
 public:
  /// Opens all listening sockets.
  /// \param http connects to backend servers, peers and the store.
  /// \param make_control creates the client of the control address; null if there are no duties.
  /// \returns the gateway, or why a socket could not be opened.
  [[nodiscard]] static result<std::unique_ptr<gateway>, net::net_failure> create(
      gateway_settings settings, const protocol& wire, const store_factory& make_store,
      std::unique_ptr<net::http_client> http = make_http_client(),
      const control_factory& make_control = {});
  /// \returns a client with the limits on idle connections that suit an entry VM.
  [[nodiscard]] static std::unique_ptr<net::http_client> make_http_client();
  virtual ~gateway() = default;
  /// Serves until a stop completes.  \returns whether every request in progress finished.
  virtual bool run() = 0;
  /// Fails readiness probes from now on and drains: serves until the balancer has had time to
  /// detect it and all requests have ended, or until the grace time is nearly over.
  virtual void begin_stop() = 0;
  /// Applies the settings that can change while the process runs: seeds and retries.
  virtual void reload(gateway_settings settings) = 0;
  /// \returns the executor of the gateway's thread, for the program's signals and timers.
  [[nodiscard]] virtual boost::asio::any_io_executor executor() = 0;
  [[nodiscard]] virtual std::uint16_t caller_port() const = 0;
  [[nodiscard]] virtual std::uint16_t readiness_port() const = 0;
  [[nodiscard]] virtual std::uint16_t peer_port() const = 0;
  [[nodiscard]] virtual std::uint16_t metrics_port() const = 0;
};

}  // namespace hawthornnotch::gateway

#endif  // HAWTHORNNOTCH_GATEWAY_GATEWAY_H_
