/// \file
/// HTTP/1.1 client over Beast: whole answers or streams, with bounds and kept connections.
#ifndef HAWTHORNNOTCH_NET_HTTP_CLIENT_H_
#define HAWTHORNNOTCH_NET_HTTP_CLIENT_H_

#include <boost/asio/awaitable.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/base/result.h"
#include "hawthornnotch/member/fleet.h"
#include "hawthornnotch/net/http_message.h"

namespace hawthornnotch::net {

/// Breaks an exchange off from outside, whatever it waits for.
///
/// Example: `limits.cancellation = std::make_shared<cancellation_token>(); ...
/// limits.cancellation->cancel();` Ownership: shared with the exchange.  Thread safety: used from
/// the exchange's strand only.
class cancellation_token {
 public:
  /// Ends the exchange as `cancelled`; one that has not begun ends before its first byte.
  void cancel() {
    cancelled_ = true;
    if (action_) {
      action_();
    }
  }
  [[nodiscard]] bool cancelled() const { return cancelled_; }
  /// For the exchange: what `cancel` has to do; null when it has ended.
  void attach(std::function<void()> action) { action_ = std::move(action); }

 private:
  bool cancelled_ = false;
  std::function<void()> action_;
};

/// Bounds of one exchange.
struct exchange_limits {
  duration connect_timeout{1'000};
  /// From the request's last byte to the end of the answer's head.
  duration head_timeout{30'000};
  /// Between two reads of the body.
  duration read_timeout{30'000};
  /// From the request's last byte to the answer's end, for an answer that is wanted whole; 0 for no
  /// such bound.
  duration total_timeout{0};
  std::uint64_t body_bytes = 16 * 1024 * 1024;
  /// False opens a fresh connection, so that no stale one can swallow the request.
  bool reuse_connection = true;
  /// Asked for the head of each answer; false skips that answer as one to an earlier request on
  /// the same connection.  Null: every answer is taken.
  std::function<bool(const http_response& head)> is_expected;
  /// Without an answer to sent bytes for this long, the operating system ends the connection;
  /// 0 leaves that to its default.
  duration tcp_user_timeout{0};
  /// Asked once, right before the first byte of the request goes out on a connection that stands;
  /// false ends the exchange as `cancelled` with nothing sent.  Null: always sent.
  std::function<bool()> may_send;
  /// Null where the exchange need not be broken off.
  std::shared_ptr<cancellation_token> cancellation;
};

/// An answer whose head has arrived and whose body is read piece by piece.
///
/// Ownership: owns its connection.  Thread safety: used from one strand.
class response_stream {
 public:
  virtual ~response_stream() = default;
  /// Status and headers; the body is empty.
  [[nodiscard]] virtual const http_response& head() const = 0;
  /// \returns the next bytes; an empty string is the body's proper end.
  virtual boost::asio::awaitable<result<std::string, net_failure>> read() = 0;
  /// Closes the connection at once; a waiting `read` ends with `cancelled`.
  virtual void cancel() = 0;
};

/// Which connections are kept for further requests.
struct idle_connections {
  std::size_t per_endpoint = 8;
  /// Longest time that a connection is kept, and the longest where the peer does not state its own.
  duration lifetime{60'000};
  duration default_lifetime{60'000};
  /// A connection is not used in the last part of the time that the peer states in `Keep-Alive`,
  /// since the peer may be closing it.
  duration safety_margin{500};
};

/// Sends requests and keeps idle connections per endpoint, in shards each under its own lock.
///
/// Example:
///     http_request request{"GET", "/load", {}, ""};
///     auto answer = co_await client.fetch(at, std::move(request), limits);
///     if (!answer) { co_return answer.last_reason(); }
/// Ownership: outlives its exchanges, and goes before the contexts they ran on, since it keeps idle
/// sockets of theirs.  Thread safety: all members are thread safe; an exchange runs
/// on the executor of the coroutine that awaits it, which is a strand where several threads run.
class http_client {
 public:
  /// \param kept which idle connections are kept.
  [[nodiscard]] static std::unique_ptr<http_client> create(idle_connections kept);
  /// \param idle_per_endpoint how many idle connections are kept for each endpoint.
  [[nodiscard]] static std::unique_ptr<http_client> create(std::size_t idle_per_endpoint);
  virtual ~http_client() = default;
  /// One request, whole answer.  A kept connection that proves closed before any byte of an answer
  /// is replaced only if nothing of the request had left.
  virtual boost::asio::awaitable<result<http_response, net_failure>> fetch(
      endpoint to, http_request request, exchange_limits limits) = 0;
  /// One request, streamed answer.
  virtual boost::asio::awaitable<result<std::unique_ptr<response_stream>, net_failure>> open(
      endpoint to, http_request request, exchange_limits limits) = 0;
};

}  // namespace hawthornnotch::net

#endif  // HAWTHORNNOTCH_NET_HTTP_CLIENT_H_
