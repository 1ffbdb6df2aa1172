/// \file
/// The router process: listeners, scheduling and forwarding.
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

/// A listener that could not be opened, e.g. since its address is in use.
struct listen_failure {
  endpoint listen_endpoint;
  net::net_failure_kind kind = net::net_failure_kind::address_in_use;
};
/// Why a router could not start.
using start_failure = std::variant<listen_failure, policy::scheduler_failure, claim::claim_failure,
                                   platform::platform_failure>;

/// \returns a one-line description for operators.
std::string describe(const start_failure& failure);

/// Accepts requests on the callers' listener, schedules them and forwards them to backend servers;
/// serves health, metrics, diagnostics and configuration on the operators' listener.
///
/// Failures: `create` reports a listener that can't be opened and settings out of range.  Errors
/// of single requests are returned to their callers as a `rejection`.
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
  /// Serves until a graceful stop is complete.  \returns true if every request ended, false if some
  /// were cut off.
  virtual bool run() = 0;
  /// Begins a graceful stop: readiness fails at once, new requests are rejected after
  /// `stop_settings::balancer_notice`, and requests in progress run to completion.  Idempotent.
  virtual void begin_stop() = 0;
  /// \returns the TCP port that is bound.
  [[nodiscard]] virtual std::uint16_t caller_port() const = 0;
  /// \returns the TCP port that is bound.
  [[nodiscard]] virtual std::uint16_t operator_port() const = 0;
};

}  // namespace hawthornnotch::router

#endif  // HAWTHORNNOTCH_ROUTER_ROUTER_H_
