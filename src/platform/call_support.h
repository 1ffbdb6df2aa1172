// What calls and watches of the platform share: failures, addresses, requests.
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
inline constexpr platform_failure ended{failure_kind::unreachable, true};

platform_failure failure_of(const net::net_failure& failure);
// An answered call has reached the service: even an error may stand for one that took effect.
platform_failure failure_of(unsigned status);

net::http_request make_call(std::string target, std::string body);

// The addresses of the service; all callers start at the one that answered last.
class address_book {
 public:
  explicit address_book(std::vector<endpoint> addresses) : addresses_(std::move(addresses)) {}
  [[nodiscard]] std::size_t size() const { return addresses_.size(); }
  [[nodiscard]] std::size_t first() const { return preferred_.load(); }
  [[nodiscard]] const endpoint& at(std::size_t index) const {
    return addresses_[index % addresses_.size()];
  }
  void prefer(std::size_t index) { preferred_ = index % addresses_.size(); }

 private:
  std::vector<endpoint> addresses_;
  std::atomic<std::size_t> preferred_{0};
};

// Tries one address after another while nothing has left.  `attempt` returns an awaitable result.
template <class T, class Attempt>
boost::asio::awaitable<result<T, platform_failure>> try_addresses(address_book& book,
                                                                  Attempt attempt) {
  platform_failure last{failure_kind::unreachable, false};
  const std::size_t first = book.first();
  for (std::size_t index = first; index < first + book.size(); ++index) {
    auto answer = co_await attempt(book.at(index));
    if (answer) {
      book.prefer(index);
      co_return std::move(*answer);
    }
    last = failure_of(answer.last_reason());
    book.prefer(index + 1);
    if (last.may_have_taken_effect) {
      break;
    }
  }
  co_return failed{last};
}

}  // namespace hawthornnotch::platform::internal

#endif  // HAWTHORNNOTCH_SRC_PLATFORM_CALL_SUPPORT_H_
