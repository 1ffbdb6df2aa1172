/// \file
/// Interface of the platform's control address, independent of its protocol.
#ifndef HAWTHORNNOTCH_GATEWAY_CONTROL_PLANE_H_
#define HAWTHORNNOTCH_GATEWAY_CONTROL_PLANE_H_

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>

#include "hawthornnotch/duties/control_call.h"
#include "hawthornnotch/member/fleet.h"
#include "hawthornnotch/net/http_client.h"

namespace hawthornnotch::gateway {

/// Ends a call, or prevents it, from outside.
struct call_guard {
  /// Closes the call's connection, which is not used again.
  std::shared_ptr<net::cancellation_token> cancellation;
  /// Called right before the first byte is sent; false ends the call with nothing sent.
  std::function<bool()> may_send;
};

/// Makes the calls that only the holder of the duties makes.
///
/// A call ends within a second.  It is not repeated here, and nothing can be read back: after
/// `failed` it may have taken effect.
///
/// Ownership: outlives its calls.  Thread safety: use from one strand.
class control_plane {
 public:
  virtual ~control_plane() = default;
  virtual boost::asio::awaitable<duties::call_outcome> send(duties::usage_report report,
                                                            duties::call_identity identity,
                                                            call_guard guard) = 0;
  virtual boost::asio::awaitable<duties::call_outcome> send(duties::server_order order,
                                                            duties::call_identity identity,
                                                            call_guard guard) = 0;
};

/// Creates the client of the control address.
using control_factory =
    std::function<std::unique_ptr<control_plane>(const endpoint& control, net::http_client& http)>;

}  // namespace hawthornnotch::gateway

#endif  // HAWTHORNNOTCH_GATEWAY_CONTROL_PLANE_H_
