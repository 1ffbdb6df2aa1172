// A stand-in for the platform with a client, in this process.
#ifndef HAWTHORNNOTCH_TESTS_SUPPORT_STANDIN_PLATFORM_H_
#define HAWTHORNNOTCH_TESTS_SUPPORT_STANDIN_PLATFORM_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "hawthornnotch/net/http_client.h"
#include "hawthornnotch/platform/http_client.h"

namespace hawthornnotch::test {

// Serves on a free port, on one thread of its own, until destroyed.
class standin_platform {
 public:
  static std::unique_ptr<standin_platform> start();
  virtual ~standin_platform() = default;
  [[nodiscard]] virtual endpoint address() const = 0;
  [[nodiscard]] virtual net::http_client& http() = 0;
  // A client of this stand-in, or of the given addresses.  Valid while the stand-in is.
  virtual std::unique_ptr<platform::http_platform_client> connect(
      platform::call_limits limits = {}) = 0;
  virtual std::unique_ptr<platform::http_platform_client> connect(std::vector<endpoint> addresses,
                                                                  platform::call_limits limits) = 0;
  // Sends a request to any address and waits.  Status 0 stands for no answer.
  virtual net::http_response send(const endpoint& to, std::string_view method,
                                  std::string_view target, std::string_view body) = 0;
  void fault(std::string_view body) { send(address(), "POST", "/standin/fault", body); }
  [[nodiscard]] std::string counters() {
    return send(address(), "GET", "/standin/counters", "").body;
  }
};

// An address on which nobody listens.
endpoint closed_address();

}  // namespace hawthornnotch::test

#endif  // HAWTHORNNOTCH_TESTS_SUPPORT_STANDIN_PLATFORM_H_
