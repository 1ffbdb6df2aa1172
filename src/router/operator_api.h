// What operators and the VM's agent reach.
#ifndef HAWTHORNNOTCH_SRC_ROUTER_OPERATOR_PORT_H_
#define HAWTHORNNOTCH_SRC_ROUTER_OPERATOR_PORT_H_

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <string>

#include "hawthornnotch/net/http_server.h"
#include "hawthornnotch/rpc/router_rpc.h"
#include "lifecycle.h"
#include "services.h"
#include "state_dump.h"

namespace hawthornnotch::router::internal {

// /healthz, /readyz, /metrics, /dump, /explain/<request id>, POST /drain, POST /rpc.
//
// Thread safety: `handle` from any strand.
class operator_port {
 public:
  // What the port asks of the process around it.
  struct process {
    std::function<listener_counts()> counts;
    std::function<void()> begin_stop;
    std::string incarnation;
  };

  operator_port(services& shared, const lifecycle& phases, process around);
  boost::asio::awaitable<void> handle(net::http_request request, net::response_writer& writer);

 private:
  net::http_response answer(const net::http_request& request);
  net::http_response readiness() const;
  net::http_response metrics_text() const;
  rpc::router_status status() const;
  rpc::router_status apply(rpc::router_snapshot snapshot);

  services& shared_;
  const lifecycle& phases_;
  process around_;
  std::unique_ptr<rpc::router_rpc_server> rpc_;
};

}  // namespace hawthornnotch::router::internal

#endif  // HAWTHORNNOTCH_SRC_ROUTER_OPERATOR_PORT_H_
