/// \file
/// HTTP/1.1 server over Beast with bounds on all it reads.
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

/// Bounds of one listener.
struct server_limits {
  std::uint32_t header_bytes = 16 * 1024;
  std::uint64_t body_bytes = 4 * 1024 * 1024;
  std::size_t connections = 4096;
  /// From a request's first byte to the end of its head.
  duration head_timeout{10'000};
  /// From the end of the head to the end of the body.
  duration read_timeout{10'000};
  /// Longest that one write may wait for a slow reader.
  duration write_timeout{30'000};
  duration idle_timeout{60'000};
};

/// Answers one request: either `send` once, or `start`, any number of `write`s and `finish`.
///
/// Example:
///     http_response response;  // a local: g++ 12 destroys braced temporaries of co_await twice
///     response.body = "ok";
///     auto sent = co_await writer.send(std::move(response));
/// Ownership: belongs to the server, valid until the handler returns.
/// Thread safety: used from the handler's strand only.
class response_writer {
 public:
  virtual ~response_writer() = default;
  virtual boost::asio::awaitable<status<net_failure>> send(http_response response) = 0;
  /// Sends the head of a chunked answer.
  virtual boost::asio::awaitable<status<net_failure>> start(unsigned code, header_list headers) = 0;
  /// Completes once the bytes are with the operating system: a slow reader holds its writer back.
  virtual boost::asio::awaitable<status<net_failure>> write(std::string_view bytes) = 0;
  virtual boost::asio::awaitable<status<net_failure>> finish() = 0;
  /// Breaks the connection, so that a cut answer can't pass for a whole one.
  virtual void abort() = 0;
  /// Called once, on the handler's strand, if the peer goes away while the handler runs.
  virtual void on_peer_disconnect(std::function<void()> callback) = 0;
};

using request_handler = std::function<boost::asio::awaitable<void>(http_request, response_writer&)>;

/// A listener and its connections.
///
/// Ownership: the handle; connections in progress live on until they end.
/// Thread safety: all members are thread safe.
class http_server {
 public:
  /// \param at where to listen; port 0 takes a free one.
  [[nodiscard]] static result<std::unique_ptr<http_server>, net_failure> listen(
      boost::asio::any_io_executor executor, const endpoint& at, server_limits limits,
      request_handler handler);
  virtual ~http_server() = default;
  [[nodiscard]] virtual std::uint16_t port() const = 0;
  /// Every further answer carries `Connection: close`.
  virtual void close_after_response() = 0;
  /// Closes connections between two requests, now and as they fall idle.  A request that crosses
  /// the close on its way was not read.
  virtual void close_idle() = 0;
  /// Stops listening; connections in progress go on.
  virtual void stop_accepting() = 0;
  /// Holds for every request and every wait that begins from now on.
  virtual void update_limits(server_limits limits) = 0;
  [[nodiscard]] virtual std::size_t open_connections() const = 0;
  /// Requests whose handler has not returned.
  [[nodiscard]] virtual std::size_t open_requests() const = 0;
};

}  // namespace hawthornnotch::net

#endif  // HAWTHORNNOTCH_NET_HTTP_SERVER_H_
