/// \file
/// HTTP/1.1 client over Beast: buffered or streamed responses, timeouts, size limits, connection
/// pooling.
#ifndef HAWTHORNNOTCH_NET_HTTP_CLIENT_H_
#define HAWTHORNNOTCH_NET_HTTP_CLIENT_H_

#include <boost/asio/awaitable.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/base/result.h"
#include "hawthornnotch/member/fleet.h"
#include "hawthornnotch/net/http_message.h"

namespace hawthornnotch::net {

/// Cancels an exchange from outside, at any stage.
///
/// Example:
///     limits.cancellation = std::make_shared<cancellation_token>();
///     ...
///     limits.cancellation->cancel();
/// Ownership: shared with the exchange.  Thread safety: use from the exchange's strand only.
class cancellation_token {
 public:
  /// Ends the exchange with `cancelled`; one that has not started fails before it sends anything.
  void cancel() {
    cancelled_ = true;
    if (action_) {
      action_();
    }
  }
  [[nodiscard]] bool cancelled() const { return cancelled_; }
  /// Called by the exchange. \param action what `cancel` runs; null once the exchange has ended.
  void attach(std::function<void()> action) { action_ = std::move(action); }

 private:
  bool cancelled_ = false;
  std::function<void()> action_;
};

/// Timeouts, size limits and options of one exchange.
struct exchange_limits {
  duration connect_timeout{1'000};
  /// From the start of sending the request to the end of the response head.
  duration head_timeout{30'000};
  /// Limit of each read of the body.
  duration read_timeout{30'000};
  /// From the start of sending the request to the end of the response; 0 for no limit.
  duration total_timeout{0};
  std::uint64_t body_bytes = 16 * 1024 * 1024;
  /// False opens a new connection, so that the request is not lost on a stale one.
  bool reuse_connection = true;
  /// Predicate on each response head; false skips the response as one to an earlier request on the
  /// same connection. Null accepts every response.
  std::function<bool(const http_response& head)> is_expected;
  /// Tells requests apart: a kept connection whose last request had the same tag is not reused,
  /// since a second copy of the earlier answer could not be told from the answer. None reuses any.
  std::optional<std::string> request_tag;
  /// The operating system closes the connection if sent bytes stay unacknowledged for this long
  /// (TCP_USER_TIMEOUT); 0 keeps its default.
  duration tcp_user_timeout{0};
  /// Called once on an established connection, right before the first byte of the request is sent;
  /// false ends the exchange with `cancelled` and nothing sent. Null always sends.
  std::function<bool()> may_send;
  /// Cancels the exchange; may be null.
  std::shared_ptr<cancellation_token> cancellation;
};

/// A response whose head has arrived and whose body is read in chunks.
///
/// Ownership: owns its connection.  Thread safety: use from one strand.
class response_stream {
 public:
  virtual ~response_stream() = default;
  /// Status and headers; the body is empty.
  [[nodiscard]] virtual const http_response& head() const = 0;
  /// \returns the next bytes; an empty string at the complete end of the body. A body that is cut
  /// off ends with a failure.
  virtual boost::asio::awaitable<result<std::string, net_failure>> read() = 0;
  /// Closes the connection at once; a pending `read` ends with `cancelled`.
  virtual void cancel() = 0;
};

/// Limits on the idle connections that are kept for reuse.
struct idle_connections {
  std::size_t per_endpoint = 8;
  /// Longest time that a connection stays idle.
  duration lifetime{60'000};
  /// The same for peers that send no `Keep-Alive` timeout.
  duration default_lifetime{60'000};
  /// Subtracted from the peer's `Keep-Alive` timeout, since the peer may be closing a connection
  /// that is about to expire.
  duration safety_margin{500};
};

/// What a peer does with a new connection.
enum class connect_check : std::uint8_t {
  accepted,
  /// Nobody listens at the address.
  refused,
  /// The attempt timed out or failed in another way, as in a network partition.
  unknown,
};

/// Sends requests and pools idle connections per endpoint, in shards with one lock each.
///
/// A failed exchange yields a `net_failure`, which says whether the request may have been sent.
/// Nothing is retried.
///
/// Example:
///     http_request request{"GET", "/load", {}, ""};
///     auto answer = co_await client.fetch(at, std::move(request), limits);
///     if (!answer) { co_return answer.last_reason(); }
/// Ownership: must outlive its exchanges and be destroyed before the contexts they ran on, since it
/// holds idle sockets of those contexts.  Thread safety: all members are thread safe. An exchange
/// runs on the executor of the awaiting coroutine, which must be a strand if several threads run.
class http_client {
 public:
  /// \param pool_limits limits of the connection pool.
  [[nodiscard]] static std::unique_ptr<http_client> create(idle_connections pool_limits);
  /// \param idle_per_endpoint limit on the idle connections kept per endpoint.
  [[nodiscard]] static std::unique_ptr<http_client> create(std::size_t idle_per_endpoint);
  virtual ~http_client() = default;
  /// Sends a request and reads the whole response.
  virtual boost::asio::awaitable<result<http_response, net_failure>> fetch(
      endpoint to, http_request request, exchange_limits limits) = 0;
  /// Sends a request and reads the response head; the body is read from the returned stream.
  virtual boost::asio::awaitable<result<std::unique_ptr<response_stream>, net_failure>> open(
      endpoint to, http_request request, exchange_limits limits) = 0;
  /// Opens a connection without sending anything; one that is accepted is kept for reuse.
  virtual boost::asio::awaitable<connect_check> check_connect(endpoint to, duration timeout) = 0;
};

}  // namespace hawthornnotch::net

#endif  // HAWTHORNNOTCH_NET_HTTP_CLIENT_H_
