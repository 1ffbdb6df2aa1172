/// \file
/// Calls to JSON-RPC methods of other processes.
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

enum class call_failure : std::uint8_t { transport, malformed_answer, refused };

std::string_view to_string(call_failure failure);

struct rpc_client_settings {
  /// Threads on which calls wait; further calls queue.
  std::size_t threads = 2;
  duration timeout{1'000};
  std::uint64_t answer_bytes = 4 * 1024 * 1024;
};

/// Sends `POST /rpc` through the shared HTTP client.  The library's calls block, so they run on a
/// few threads of their own.
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
  /// \returns the answer's body.
  virtual boost::asio::awaitable<result<std::string, call_failure>> call(endpoint to,
                                                                         std::string method,
                                                                         std::string body) = 0;
};

}  // namespace hawthornnotch::rpc

#endif  // HAWTHORNNOTCH_RPC_RPC_CLIENT_H_
