/// \file
/// HTTP/1.1 server over Beast with limits on everything it reads.
#ifndef HAWTHORNNOTCH_NET_HTTP_SERVER_H_
#define HAWTHORNNOTCH_NET_HTTP_SERVER_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstddef>
#include <functional>
#include <memory>

#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/base/result.h"
#include "hawthornnotch/member/fleet.h"
#include "hawthornnotch/net/http_message.h"

namespace hawthornnotch::net {

/// Timeouts and size limits of a listener.
struct server_limits {
  std::uint32_t header_bytes = 16 * 1024;
  std::uint64_t body_bytes = 4 * 1024 * 1024;
  /// Open connections; further ones are closed on accept.
  std::size_t connections = 4096;
  /// From a request's first byte to the end of its head.
  duration head_timeout{10'000};
  /// From the end of the head to the end of the body.
  duration read_timeout{10'000};
  /// Limit of one write to a slow reader.
  duration write_timeout{30'000};
  /// Longest wait for the first byte of a request.
  duration idle_timeout{60'000};
};

/// Writes the response to one request: either one `send`, or `start`, any number of `write`s and
/// `finish`. A write that fails, e.g. since the peer has disconnected or reads too slowly, closes
/// the connection after the handler returns.
///
/// Example:
///     http_response response;  // a local: g++ 12 destroys braced temporaries of co_await twice
///     response.body = "ok";
///     auto sent = co_await writer.send(std::move(response));
/// Ownership: owned by the server and valid until the handler returns.
/// Thread safety: use from the handler's strand only.
class response_writer {
 public:
  virtual ~response_writer() = default;
  virtual boost::asio::awaitable<status<net_failure>> send(http_response response) = 0;
  /// Sends the head of a chunked response.
  virtual boost::asio::awaitable<status<net_failure>> start(unsigned code, header_list headers) = 0;
  /// Completes once the operating system has taken the bytes, so a slow reader applies
  /// backpressure.
  virtual boost::asio::awaitable<status<net_failure>> write(std::string_view bytes) = 0;
  /// Sends the last chunk.
  virtual boost::asio::awaitable<status<net_failure>> finish() = 0;
  /// Resets the connection, so that a truncated response can't pass for a complete one.
  virtual void abort() = 0;
  /// Sets a callback that runs once, on the handler's strand, if the peer disconnects while the
  /// handler runs; at once if it already has.
  virtual void on_peer_disconnect(std::function<void()> callback) = 0;
  /// Looks at the connection itself, so that it also sees what the event loop has not reported yet.
  /// \returns false once the peer has closed its side or the connection has failed.
  [[nodiscard]] virtual bool peer_connected() = 0;
};

using request_handler = std::function<boost::asio::awaitable<void>(http_request, response_writer&)>;

/// A listener and its connections.
///
/// Requests that can't be parsed get a 4xx response (400, 408, 413 or 431) without reaching the
/// handler, and their connection is closed. Requests with ambiguous framing are treated alike,
/// since two parsers could disagree on where they end.
///
/// Ownership: destroying the handle stops the listener; open connections live on until they end.
/// Thread safety: all members are thread safe.
class http_server {
 public:
  /// \param at local address; port 0 picks a free one.
  /// \returns the server; `address_in_use` if the port is taken, `resolve` for any other failure.
  [[nodiscard]] static result<std::unique_ptr<http_server>, net_failure> listen(
      boost::asio::any_io_executor executor, const endpoint& at, server_limits limits,
      request_handler handler);
  virtual ~http_server() = default;
  [[nodiscard]] virtual std::uint16_t port() const = 0;
  /// Makes every further response carry `Connection: close`.
  virtual void close_after_response() = 0;
  /// Closes connections that are idle between two requests, now and as they become idle. A request
  /// that is in flight at that moment is not read.
  virtual void close_idle() = 0;
  /// Stops listening; open connections continue.
  virtual void stop_accepting() = 0;
  /// Applies to every request and every timeout that starts from now on.
  virtual void update_limits(server_limits limits) = 0;
  [[nodiscard]] virtual std::size_t open_connections() const = 0;
  /// \returns the number of requests whose handler has not returned.
  [[nodiscard]] virtual std::size_t open_requests() const = 0;
};

}  // namespace hawthornnotch::net

#endif  // HAWTHORNNOTCH_NET_HTTP_SERVER_H_
