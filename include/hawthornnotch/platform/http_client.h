/// \file
/// The platform over etcd v3's JSON gateway.
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

/// Bounds of the calls to the platform.
struct call_limits {
  duration connect_timeout{500};
  /// From a call's last byte to the head of its answer, and from there to the answer's end.
  duration response_timeout{2'000};
  /// A watch that is silent for longer has failed; the service must send progress notes more often.
  duration watch_silence{15'000};
  std::uint64_t answer_bytes = 16 * 1024 * 1024;
};

/// A client of the published subset listed in docs/design/0007-platform-protocol.md.
///
/// A call goes to the next address only while nothing of it has left this process, so one call
/// takes effect at most once.  A watch is not reopened: its failure, a silence or a compacted
/// history ends it with a failure, and the caller reads and watches again.
///
/// Example:
///     auto made = http_platform_client::create(executor, {{"127.0.0.1", 2379}}, {}, http);
///     (*made)->read("hn/head", [](auto answer) { ... });
/// Ownership: refers to `http`, which outlives it and every call; a callback may still be running
/// when a watch's handle is destroyed, and none starts after.
/// Thread safety: all members are thread safe.
class http_platform_client : public client, public vm_list_source {
 public:
  /// \returns the failure `unreachable` if there is no address.
  [[nodiscard]] static result<std::unique_ptr<http_platform_client>, platform_failure> create(
      boost::asio::any_io_executor executor, std::vector<endpoint> addresses, call_limits limits,
      net::http_client& http);
};

}  // namespace hawthornnotch::platform

#endif  // HAWTHORNNOTCH_PLATFORM_HTTP_CLIENT_H_
