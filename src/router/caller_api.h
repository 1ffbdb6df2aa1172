// What callers reach: model calls, plain services, the list of models.
#ifndef HAWTHORNNOTCH_SRC_ROUTER_CALLER_PORT_H_
#define HAWTHORNNOTCH_SRC_ROUTER_CALLER_PORT_H_

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <optional>
#include <string>

#include "hawthornnotch/net/http_server.h"
#include "hawthornnotch/router/rejection.h"
#include "lifecycle.h"
#include "services.h"

namespace hawthornnotch::router::internal {

// Thread safety: `handle` from any strand.
class caller_port {
 public:
  caller_port(services& shared, const lifecycle& phases, std::string id_prefix)
      : shared_(shared), phases_(phases), id_prefix_(std::move(id_prefix)) {}

  boost::asio::awaitable<void> handle(net::http_request request, net::response_writer& writer);

 private:
  std::string next_id();
  [[nodiscard]] std::optional<rejection> refuse_all() const;
  boost::asio::awaitable<void> list_models(const net::http_request& request,
                                           net::response_writer& writer);
  boost::asio::awaitable<void> reject(net::response_writer& writer, const rejection& why,
                                      const std::string& id);

  services& shared_;
  const lifecycle& phases_;
  const std::string id_prefix_;
  std::atomic<std::uint64_t> next_number_{1};
};

}  // namespace hawthornnotch::router::internal

#endif  // HAWTHORNNOTCH_SRC_ROUTER_CALLER_PORT_H_
