// The HTTP API for operators and for the VM's agent.
#ifndef HAWTHORNNOTCH_SRC_ROUTER_OPERATOR_API_H_
#define HAWTHORNNOTCH_SRC_ROUTER_OPERATOR_API_H_

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <string>

#include "hawthornnotch/net/http_server.h"
#include "hawthornnotch/rpc/router_rpc.h"
#include "lifecycle.h"
#include "router_components.h"
#include "state_dump.h"

namespace hawthornnotch::router::internal {

// Serves GET /healthz, /readyz, /metrics, /dump and /explain/<request id>, POST /drain and, for the
// agent, POST /rpc.
//
// Failures: errors are answered as a `rejection`; /readyz answers 503 while the router has no
// complete configuration or is stopping.
// Thread safety: `handle` may be called from any strand.
class operator_api {
 public:
  // Access to the process that owns this object.
  struct process_hooks {
    std::function<listener_counts()> counts;
    std::function<void()> begin_stop;
    std::string incarnation;
  };

  operator_api(router_components& shared, const lifecycle& phases, process_hooks hooks);
  boost::asio::awaitable<void> handle(net::http_request request, net::response_writer& writer);

 private:
  net::http_response answer(const net::http_request& request);
  net::http_response readiness() const;
  net::http_response metrics_text() const;
  rpc::router_status status() const;
  rpc::router_status apply(rpc::router_snapshot snapshot);

  router_components& shared_;
  const lifecycle& phases_;
  process_hooks hooks_;
  std::unique_ptr<rpc::router_rpc_server> rpc_;
};

}  // namespace hawthornnotch::router::internal

#endif  // HAWTHORNNOTCH_SRC_ROUTER_OPERATOR_API_H_
