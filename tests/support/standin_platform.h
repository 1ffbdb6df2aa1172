// The stand-in platform, run inside the test process, with clients for it.
#ifndef HAWTHORNNOTCH_TESTS_SUPPORT_STANDIN_PLATFORM_H_
#define HAWTHORNNOTCH_TESTS_SUPPORT_STANDIN_PLATFORM_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "hawthornnotch/net/http_client.h"
#include "hawthornnotch/platform/http_client.h"

namespace hawthornnotch::test {

// Serves on a free loopback port, on its own thread, until destroyed.
class standin_platform {
 public:
  static std::unique_ptr<standin_platform> start();
  virtual ~standin_platform() = default;
  [[nodiscard]] virtual endpoint address() const = 0;
  [[nodiscard]] virtual net::http_client& http() = 0;
  // \returns a client of this stand-in or of the given addresses. The stand-in must outlive it.
  virtual std::unique_ptr<platform::http_platform_client> connect(
      platform::call_limits limits = {}) = 0;
  virtual std::unique_ptr<platform::http_platform_client> connect(std::vector<endpoint> addresses,
                                                                  platform::call_limits limits) = 0;
  // Sends a request to any address and blocks until it ends.
  // \returns the response; status 0 if the request failed.
  virtual net::http_response send(const endpoint& to, std::string_view method,
                                  std::string_view target, std::string_view body) = 0;
  // Sets a fault of the stand-in; `body` is the JSON object that `/standin/fault` takes.
  void fault(std::string_view body) { send(address(), "POST", "/standin/fault", body); }
  // \returns the stand-in's call counters, as it serves them.
  [[nodiscard]] std::string counters() {
    return send(address(), "GET", "/standin/counters", "").body;
  }
};

// \returns an address on which connections are refused.
endpoint closed_address();

}  // namespace hawthornnotch::test

#endif  // HAWTHORNNOTCH_TESTS_SUPPORT_STANDIN_PLATFORM_H_
