/// \file
/// Dispatch of JSON-RPC requests that arrive over HTTP.
#ifndef HAWTHORNNOTCH_RPC_METHOD_SERVER_H_
#define HAWTHORNNOTCH_RPC_METHOD_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "hawthornnotch/base/result.h"

namespace hawthornnotch::rpc {

/// Why a request or a body was rejected.
enum class codec_fault : std::uint8_t { malformed_json, wrong_shape, too_large };

std::string_view to_string(codec_fault fault);

/// Handler of one method: takes the request's body and returns the response's body.
using method = std::function<result<std::string, codec_fault>(std::string_view body)>;
using method_map = std::map<std::string, method, std::less<>>;

/// Longer requests are rejected as `too_large` without being parsed.
inline constexpr std::size_t max_request_bytes = 4 * 1024 * 1024;

/// Dispatches JSON-RPC 2.0 requests to methods, each of which takes one string parameter `body` and
/// returns a string.  A malformed or oversized request, an unknown method and a body that its
/// method rejects are answered with a JSON-RPC error object.
///
/// Example:
///     auto server = method_server::create({{"ping", [](std::string_view) { return "{}"; }}});
///     net::http_response answer{200, {}, server->handle(request.body)};
///     co_await writer.send(std::move(answer));
/// Ownership: owns its methods.  Thread safety: `handle` is thread safe if the methods are.
class method_server {
 public:
  [[nodiscard]] static std::unique_ptr<method_server> create(method_map methods);
  virtual ~method_server() = default;
  /// \param request_body text of the JSON-RPC request.
  /// \returns text of the JSON-RPC response; never throws for bad input.
  [[nodiscard]] virtual std::string handle(std::string_view request_body) = 0;
};

}  // namespace hawthornnotch::rpc

#endif  // HAWTHORNNOTCH_RPC_METHOD_SERVER_H_
