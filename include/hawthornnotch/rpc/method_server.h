/// \file
/// JSON-RPC methods of one process, behind its HTTP listener.
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

/// Why a body was not understood.
enum class codec_fault : std::uint8_t { malformed_json, wrong_shape, too_large };

std::string_view to_string(codec_fault fault);

/// Answers one method: body in, body out.
using method = std::function<result<std::string, codec_fault>(std::string_view body)>;
using method_map = std::map<std::string, method, std::less<>>;

/// Longest request text that is looked at, bytes.
inline constexpr std::size_t largest_request_bytes = 4 * 1024 * 1024;

/// Dispatches JSON-RPC 2.0 request texts to methods; each has one string parameter `body` and
/// gives one string.  A text that can't be understood gets a JSON-RPC error object.
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
  /// \returns text of the JSON-RPC answer; never throws for bad input.
  [[nodiscard]] virtual std::string handle(std::string_view request_body) = 0;
};

}  // namespace hawthornnotch::rpc

#endif  // HAWTHORNNOTCH_RPC_METHOD_SERVER_H_
