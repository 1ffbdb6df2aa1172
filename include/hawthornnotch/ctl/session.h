/// \file
/// Connections of hawthornnotchctl to the platform and to agents and routers.
#ifndef HAWTHORNNOTCH_CTL_SESSION_H_
#define HAWTHORNNOTCH_CTL_SESSION_H_

#include <chrono>
#include <functional>
#include <future>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/base/result.h"
#include "hawthornnotch/ctl/exit_code.h"
#include "hawthornnotch/ctl/report.h"
#include "hawthornnotch/ctl/settings.h"
#include "hawthornnotch/net/http_message.h"
#include "hawthornnotch/platform/http_client.h"

namespace hawthornnotch::ctl {

/// Blocking interface to the platform and to processes; the network I/O runs on a separate thread.
///
/// A call returns a `net_failure` or `platform_failure` if the peer can't be connected to or does
/// not respond in time; `settings::call_timeout` applies to each phase of a call.
///
/// Example:
///     auto remote = session::open(settings, progress);
///     auto response = (*remote)->fetch(address, "GET", "/dump");
/// Ownership: owns its connections; refers to `progress`.  Thread safety: used by one thread.
class session {
 public:
  /// Fails with `exit_code::bad_input` if the settings name no platform address.
  [[nodiscard]] static result<std::unique_ptr<session>, command_failure> open(
      settings tool_settings, progress& progress_line);
  virtual ~session() = default;
  [[nodiscard]] virtual const settings& tool_settings() const = 0;
  [[nodiscard]] virtual platform::http_platform_client& platform() = 0;
  [[nodiscard]] virtual progress& progress_line() = 0;
  /// Sends a request to one process and waits for the response.
  virtual result<net::http_response, net::net_failure> fetch(const endpoint& to,
                                                             std::string_view method,
                                                             std::string_view target) = 0;
  /// Sends a GET request to several processes in parallel.
  /// \returns one result per address, in the order of `addresses`.
  virtual std::vector<result<net::http_response, net::net_failure>> fetch_all(
      const std::vector<endpoint>& addresses, std::string_view target) = 0;
};

/// Waits for a future. Calls `tick` on every poll, and shows `message` if the wait takes long.
template <class T>
T wait_for(std::future<T> future, progress& progress_line, std::string_view message,
           const std::function<void()>& tick = {}) {
  constexpr std::chrono::milliseconds poll_interval{50};
  constexpr std::chrono::milliseconds progress_delay{500};
  const auto started = std::chrono::steady_clock::now();
  while (future.wait_for(poll_interval) != std::future_status::ready) {
    if (tick) {
      tick();
    }
    if (std::chrono::steady_clock::now() - started > progress_delay) {
      progress_line.show(message);
    }
  }
  return future.get();
}

/// Starts an asynchronous call and waits until it passes its result to the callback.
///
/// Example: `auto read = call<read_result>(remote.progress_line(), "waiting for the platform",
///              [&](auto done) { remote.platform().read(key, done); });`
template <class T, class Call>
T call(progress& progress_line, std::string_view message, Call start,
       const std::function<void()>& tick = {}) {
  auto promise = std::make_shared<std::promise<T>>();
  auto future = promise->get_future();
  start([promise](T outcome) { promise->set_value(std::move(outcome)); });
  return wait_for(std::move(future), progress_line, message, tick);
}

}  // namespace hawthornnotch::ctl

#endif  // HAWTHORNNOTCH_CTL_SESSION_H_
