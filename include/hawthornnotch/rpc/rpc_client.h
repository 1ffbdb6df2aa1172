/// \file
/// Client for JSON-RPC methods of other processes.
#ifndef HAWTHORNNOTCH_RPC_RPC_CLIENT_H_
#define HAWTHORNNOTCH_RPC_RPC_CLIENT_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/base/result.h"
#include "hawthornnotch/member/fleet.h"
#include "hawthornnotch/net/http_client.h"

namespace hawthornnotch::rpc {

/// Why a call failed: no response or an HTTP status other than 200, a response that is not valid
/// JSON-RPC, or a JSON-RPC error from the server.
enum class call_failure : std::uint8_t { transport, malformed_answer, refused };

std::string_view to_string(call_failure failure);

struct rpc_client_settings {
  /// Threads that run calls; each call blocks one, and further calls queue.
  std::size_t threads = 2;
  /// Timeout of connecting, of waiting for the response head and of each read.
  duration timeout{1'000};
  std::uint64_t max_response_bytes = 4 * 1024 * 1024;
};

/// Sends `POST /rpc` through the shared HTTP client.  Calls of the JSON-RPC library block, so they
/// run on a thread pool of this client.  A failed call is not retried.
///
/// Example: `auto answer = co_await client.call(peer.agent, "exchange", text);`
/// Ownership: keeps references to the executor's context and to `http`; destroy it before them,
/// while the executor still runs.  Thread safety: all members are thread safe.
class rpc_client {
 public:
  [[nodiscard]] static std::unique_ptr<rpc_client> create(boost::asio::any_io_executor executor,
                                                          net::http_client& http,
                                                          rpc_client_settings settings);
  virtual ~rpc_client() = default;
  /// \returns the response's body.
  virtual boost::asio::awaitable<result<std::string, call_failure>> call(endpoint to,
                                                                         std::string method,
                                                                         std::string body) = 0;
};

}  // namespace hawthornnotch::rpc

#endif  // HAWTHORNNOTCH_RPC_RPC_CLIENT_H_
