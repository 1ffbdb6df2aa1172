/// \file
/// The tool's connections to the platform and to the system's processes.
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

/// Sends calls from a thread of its own, so that commands can be written one step a line.
///
/// Example:
///     auto remote = session::open(settings, shown);
///     auto answer = (*remote)->fetch(address, "GET", "/dump");
/// Ownership: owns its connections; refers to `progress`.  Thread safety: used by one thread.
class session {
 public:
  [[nodiscard]] static result<std::unique_ptr<session>, command_failure> open(settings with,
                                                                              progress& shown);
  virtual ~session() = default;
  [[nodiscard]] virtual const settings& with() const = 0;
  [[nodiscard]] virtual platform::http_platform_client& platform() = 0;
  [[nodiscard]] virtual progress& shown() = 0;
  /// Asks one process and waits.
  virtual result<net::http_response, net::net_failure> fetch(const endpoint& to,
                                                             std::string_view method,
                                                             std::string_view target) = 0;
  /// Asks several at the same time; answers stand in the order of the addresses.
  virtual std::vector<result<net::http_response, net::net_failure>> fetch_all(
      const std::vector<endpoint>& from, std::string_view target) = 0;
};

/// Waits for an answer, showing what is waited for and running `tick` meanwhile.
template <class T>
T wait_for(std::future<T> answer, progress& shown, std::string_view what,
           const std::function<void()>& tick = {}) {
  constexpr std::chrono::milliseconds step{50};
  constexpr std::chrono::milliseconds unremarkable{500};
  const auto begun = std::chrono::steady_clock::now();
  while (answer.wait_for(step) != std::future_status::ready) {
    if (tick) {
      tick();
    }
    if (std::chrono::steady_clock::now() - begun > unremarkable) {
      shown.show(what);
    }
  }
  return answer.get();
}

/// Makes a call that takes a callback, and waits for it.
///
/// Example: `auto read = call<read_result>(remote.shown(), "the platform",
///              [&](auto done) { remote.platform().read(key, done); });`
template <class T, class Call>
T call(progress& shown, std::string_view what, Call start, const std::function<void()>& tick = {}) {
  auto promise = std::make_shared<std::promise<T>>();
  auto answer = promise->get_future();
  start([promise](T outcome) { promise->set_value(std::move(outcome)); });
  return wait_for(std::move(answer), shown, what, tick);
}

}  // namespace hawthornnotch::ctl

#endif  // HAWTHORNNOTCH_CTL_SESSION_H_
