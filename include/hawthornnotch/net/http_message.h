/// \file
/// HTTP messages as plain values, independent of the HTTP library.
#ifndef HAWTHORNNOTCH_NET_HTTP_MESSAGE_H_
#define HAWTHORNNOTCH_NET_HTTP_MESSAGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace hawthornnotch::net {

using header_list = std::vector<std::pair<std::string, std::string>>;

struct http_request {
  std::string method = "GET";
  std::string target = "/";
  header_list headers;
  std::string body;
  /// \returns the value of the first header with that name, compared case-insensitively; nullopt if
  /// there is none.
  [[nodiscard]] std::optional<std::string_view> header(std::string_view name) const;
};

struct http_response {
  unsigned status = 200;
  header_list headers;
  std::string body;
  [[nodiscard]] std::optional<std::string_view> header(std::string_view name) const;
};

enum class net_failure_kind : std::uint8_t {
  resolve,
  address_in_use,
  connect,
  timed_out,
  /// The operating system gave up on sent bytes that the peer never acknowledged.
  unacknowledged,
  closed,
  too_large,
  malformed,
  cancelled,
};

/// Why an exchange or a listener failed.
struct net_failure {
  net_failure_kind kind = net_failure_kind::closed;
  /// False only if certainly no byte of the request reached the socket.
  bool request_may_have_been_sent = false;
};

std::string_view to_string(net_failure_kind kind);

}  // namespace hawthornnotch::net

#endif  // HAWTHORNNOTCH_NET_HTTP_MESSAGE_H_
