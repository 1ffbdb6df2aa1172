/// \file
/// A stand-in for the platform: key-value service with leases and watches, and the list of VMs.
#ifndef HAWTHORNNOTCH_STANDIN_PLATFORM_H_
#define HAWTHORNNOTCH_STANDIN_PLATFORM_H_

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <memory>

#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/net/http_message.h"
#include "hawthornnotch/net/http_server.h"
#include "hawthornnotch/standin/faults.h"

namespace hawthornnotch::standin {

struct platform_options {
  /// How long a change of the VM list stays unseen.
  duration list_lag;
  /// Longest silence of a watch that asked for progress notes.
  std::chrono::microseconds progress{};
};

/// The subset of etcd v3's JSON gateway that the client uses, kept in memory.
///
/// Routes: `POST /v3/kv/range`, `/v3/kv/txn`, `/v3/lease/grant`, `/v3/lease/keepalive`,
/// `/v3/lease/revoke`, `/v3/watch`; `GET /vms`, `PUT /standin/vms`, `GET /standin/counters`.
/// Ownership: refers to the clock; outlives its requests.  Thread safety: none; used on one thread.
class platform {
 public:
  [[nodiscard]] static std::unique_ptr<platform> create(platform_options options, const clock& time,
                                                        std::shared_ptr<fault_switches> faults);
  virtual ~platform() = default;
  virtual boost::asio::awaitable<void> handle(net::http_request request,
                                              net::response_writer& writer) = 0;
};

}  // namespace hawthornnotch::standin

#endif  // HAWTHORNNOTCH_STANDIN_PLATFORM_H_
