/// \file
/// The router process without its main function.
#ifndef HAWTHORNNOTCH_ROUTER_ROUTER_H_
#define HAWTHORNNOTCH_ROUTER_ROUTER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>

#include "hawthornnotch/base/result.h"
#include "hawthornnotch/net/http_message.h"
#include "hawthornnotch/policy/settings.h"
#include "hawthornnotch/router/settings.h"

namespace hawthornnotch::router {

/// A listener that could not be opened.
struct listen_failure {
  endpoint at;
  net::net_failure_kind kind = net::net_failure_kind::address_in_use;
};
/// Why a router could not be started.
using start_failure = std::variant<listen_failure, policy::scheduler_failure, claim::claim_failure,
                                   platform::platform_failure>;

std::string describe(const start_failure& failure);

/// Callers' listener, operators' listener, and everything between them and the backend servers.
///
/// Example:
///     auto made = router::create(settings);
///     if (!made) { report(describe(made.last_reason())); }
///     (*made)->run();  // returns after a stop
/// Ownership: owns its threads and all state.
/// Thread safety: `begin_stop` from any thread or a signal handler's thread; `run` once.
class router {
 public:
  [[nodiscard]] static result<std::unique_ptr<router>, start_failure> create(
      router_settings settings);
  virtual ~router() = default;
  /// Serves until a stop has ended every request.  \returns whether none was cut.
  virtual bool run() = 0;
  /// Begins a graceful stop: not ready at once, new work refused after the balancer's notice
  /// time, requests in progress ended whole.  A second call changes nothing.
  virtual void begin_stop() = 0;
  [[nodiscard]] virtual std::uint16_t caller_port() const = 0;
  [[nodiscard]] virtual std::uint16_t operator_port() const = 0;
};

}  // namespace hawthornnotch::router

#endif  // HAWTHORNNOTCH_ROUTER_ROUTER_H_
