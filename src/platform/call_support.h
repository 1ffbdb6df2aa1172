// Helpers shared by platform calls and watches: failures, endpoints, requests.
#ifndef HAWTHORNNOTCH_SRC_PLATFORM_CALL_SUPPORT_H_
#define HAWTHORNNOTCH_SRC_PLATFORM_CALL_SUPPORT_H_

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <string>
#include <utility>
#include <vector>

#include "hawthornnotch/member/fleet.h"
#include "hawthornnotch/net/http_message.h"
#include "hawthornnotch/platform/client.h"

namespace hawthornnotch::platform::internal {

inline constexpr unsigned status_ok = 200;
inline constexpr unsigned status_not_modified = 304;

inline constexpr platform_failure malformed{failure_kind::malformed_answer, true};
inline constexpr platform_failure watch_closed{failure_kind::unreachable, true};

platform_failure failure_of(const net::net_failure& failure);
// A response proves that the call reached the store; even an error may follow a write that took
// effect.
platform_failure failure_of(unsigned status);

net::http_request make_post(std::string target, std::string body);

// The endpoints of the store. Every call starts at the one that last responded, or at the one after
// it if a later call to it failed.
class endpoint_list {
 public:
  explicit endpoint_list(std::vector<endpoint> addresses) : addresses_(std::move(addresses)) {}
  [[nodiscard]] std::size_t size() const { return addresses_.size(); }
  [[nodiscard]] std::size_t preferred() const { return preferred_.load(); }
  [[nodiscard]] const endpoint& at(std::size_t index) const {
    return addresses_[index % addresses_.size()];
  }
  void set_preferred(std::size_t index) { preferred_ = index % addresses_.size(); }

 private:
  std::vector<endpoint> addresses_;
  std::atomic<std::size_t> preferred_{0};
};

// Tries the endpoints in turn until one responds or a request may have been sent.
// \param attempt takes an endpoint and returns an awaitable result.
// \returns the failure of the last attempt if all fail.
template <class T, class Attempt>
boost::asio::awaitable<result<T, platform_failure>> try_addresses(endpoint_list& endpoints,
                                                                  Attempt attempt) {
  platform_failure last_failure{failure_kind::unreachable, false};
  const std::size_t preferred = endpoints.preferred();
  for (std::size_t index = preferred; index < preferred + endpoints.size(); ++index) {
    auto response = co_await attempt(endpoints.at(index));
    if (response) {
      endpoints.set_preferred(index);
      co_return std::move(*response);
    }
    last_failure = failure_of(response.last_reason());
    endpoints.set_preferred(index + 1);
    if (last_failure.may_have_taken_effect) {
      break;
    }
  }
  co_return failed{last_failure};
}

}  // namespace hawthornnotch::platform::internal

#endif  // HAWTHORNNOTCH_SRC_PLATFORM_CALL_SUPPORT_H_
