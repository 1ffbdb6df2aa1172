// An HTTP client of an entry VM that can be cut off from chosen endpoints.
#ifndef HAWTHORNNOTCH_TESTS_SUPPORT_PARTITIONED_CLIENT_H_
#define HAWTHORNNOTCH_TESTS_SUPPORT_PARTITIONED_CLIENT_H_

#include <cstddef>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "hawthornnotch/gateway/gateway.h"
#include "hawthornnotch/net/http_client.h"

namespace hawthornnotch::test {

enum class partition_kind : std::uint8_t {
  // Connections hang; a request that went out on a kept one is never acknowledged.
  silent,
  // New connections are refused, and kept ones are reset once a request is on its way.
  reset,
};

// The partition of one entry VM, set by the test.  Thread safe.
class network_partition {
 public:
  void cut(const endpoint& from, partition_kind kind, std::size_t kept_connections = 0);
  void heal();
  // \returns how the endpoint is cut off; none if it is not.
  [[nodiscard]] std::optional<partition_kind> find(const endpoint& to);
  // \returns whether a kept connection was left, which is used up.
  bool take_kept_connection(const endpoint& to);
  // \returns the connections tried across the partition.
  [[nodiscard]] std::size_t tried_connections();

 private:
  struct cut_endpoint {
    partition_kind kind = partition_kind::silent;
    std::size_t kept_connections = 0;
  };
  std::mutex mutex_;
  std::map<std::string, cut_endpoint> cut_;
  std::size_t tried_connections_ = 0;
};

// Passes exchanges on to a real client unless the partition cuts their endpoint off.
class partitioned_client final : public net::http_client {
 public:
  explicit partitioned_client(std::shared_ptr<network_partition> partition)
      : partition_(std::move(partition)), real_(gateway::gateway::make_http_client()) {}
  boost::asio::awaitable<result<net::http_response, net::net_failure>> fetch(
      endpoint to, net::http_request request, net::exchange_limits limits) override;
  boost::asio::awaitable<result<std::unique_ptr<net::response_stream>, net::net_failure>> open(
      endpoint to, net::http_request request, net::exchange_limits limits) override;
  boost::asio::awaitable<net::connect_check> check_connect(endpoint to, duration timeout) override;

 private:
  // \returns how an exchange with a cut-off endpoint fails.
  boost::asio::awaitable<net::net_failure> fail(endpoint to, partition_kind kind,
                                                net::exchange_limits limits);

  std::shared_ptr<network_partition> partition_;
  std::unique_ptr<net::http_client> real_;
};

}  // namespace hawthornnotch::test

#endif  // HAWTHORNNOTCH_TESTS_SUPPORT_PARTITIONED_CLIENT_H_
