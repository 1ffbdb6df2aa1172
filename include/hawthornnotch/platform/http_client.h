/// \file
/// Platform client over etcd v3's JSON gateway.
#ifndef HAWTHORNNOTCH_PLATFORM_HTTP_CLIENT_H_
#define HAWTHORNNOTCH_PLATFORM_HTTP_CLIENT_H_

#include <boost/asio/any_io_executor.hpp>
#include <memory>
#include <vector>

#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/member/fleet.h"
#include "hawthornnotch/net/http_client.h"
#include "hawthornnotch/platform/client.h"
#include "hawthornnotch/platform/vm_list.h"

namespace hawthornnotch::platform {

/// Timeouts and size limits of platform calls.
struct call_limits {
  duration connect_timeout{500};
  /// Limit from the start of sending a request to the response head, and again from there to the
  /// end of the response.
  duration response_timeout{2'000};
  /// A watch that receives nothing for longer fails. The store must send progress notifications
  /// more often than this.
  duration watch_idle_timeout{15'000};
  std::uint64_t max_response_bytes = 16 * 1024 * 1024;
};

/// A client for the subset of the protocol listed in docs/design/0007-platform-protocol.md.
///
/// A call fails over to the next address only while no byte of it has been sent, so it takes effect
/// at most once. A watch is not reopened: a broken connection, a silence longer than
/// `watch_idle_timeout` or a compacted history ends it with a failure, after which the caller reads
/// the keys and watches again. An HTTP error status or a malformed response fails the call and
/// counts as possibly applied.
///
/// Example:
///     auto made = http_platform_client::create(executor, {{"127.0.0.1", 2379}}, {}, http);
///     (*made)->read("hn/head", [](auto answer) { ... });
/// Ownership: `http` must outlive the client and every call. When a watch's handle is destroyed, a
/// callback may still be running, but none starts afterwards.
/// Thread safety: all members are thread safe.
class http_platform_client : public client, public vm_list_source {
 public:
  /// \returns the client; the failure `unreachable` if `addresses` is empty.
  [[nodiscard]] static result<std::unique_ptr<http_platform_client>, platform_failure> create(
      boost::asio::any_io_executor executor, std::vector<endpoint> addresses, call_limits limits,
      net::http_client& http);
};

}  // namespace hawthornnotch::platform

#endif  // HAWTHORNNOTCH_PLATFORM_HTTP_CLIENT_H_
