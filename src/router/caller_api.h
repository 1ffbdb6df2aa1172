// The HTTP API for callers: model calls, service calls and the list of models.
#ifndef HAWTHORNNOTCH_SRC_ROUTER_CALLER_API_H_
#define HAWTHORNNOTCH_SRC_ROUTER_CALLER_API_H_

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <optional>
#include <string>

#include "hawthornnotch/net/http_server.h"
#include "hawthornnotch/router/rejection.h"
#include "lifecycle.h"
#include "router_components.h"

namespace hawthornnotch::router::internal {

// Handles the requests of the callers' listener.
//
// Failures: every error is sent to the caller as a `rejection`.  While the router has no complete
// configuration or is past the notice period of its stop, all requests are rejected.
// Thread safety: `handle` may be called from any strand.
class caller_api {
 public:
  caller_api(router_components& shared, const lifecycle& phases, std::string id_prefix)
      : shared_(shared), phases_(phases), id_prefix_(std::move(id_prefix)) {}

  boost::asio::awaitable<void> handle(net::http_request request, net::response_writer& writer);

 private:
  std::string next_id();
  // \returns the error for every request while the router has no configuration or rejects new work.
  [[nodiscard]] std::optional<rejection> check_availability() const;
  boost::asio::awaitable<void> list_models(const net::http_request& request,
                                           net::response_writer& writer);
  boost::asio::awaitable<void> reject(net::response_writer& writer, const rejection& reason,
                                      const std::string& id);

  router_components& shared_;
  const lifecycle& phases_;
  const std::string id_prefix_;
  std::atomic<std::uint64_t> next_number_{1};
};

}  // namespace hawthornnotch::router::internal

#endif  // HAWTHORNNOTCH_SRC_ROUTER_CALLER_API_H_
