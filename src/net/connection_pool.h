// Idle client connections by endpoint, in shards each under its own lock.
#ifndef HAWTHORNNOTCH_SRC_NET_CONNECTION_POOL_H_
#define HAWTHORNNOTCH_SRC_NET_CONNECTION_POOL_H_

#include <array>
#include <map>
#include <mutex>
#include <optional>
#include <vector>

#include "beast_support.h"
#include "hawthornnotch/base/hash.h"
#include "hawthornnotch/member/fleet.h"
#include "hawthornnotch/net/http_client.h"

namespace hawthornnotch::net::internal {

// Thread safety: all members are thread safe.
class connection_pool {
 public:
  explicit connection_pool(idle_connections kept) : kept_(kept) {}

  // \returns a socket that the peer has not closed, moved to `executor`; none if there is none.
  std::optional<tcp::socket> take(const endpoint& to, const asio::any_io_executor& executor);
  // \pre the socket's last answer was read whole.
  // \param stated how long the peer keeps the idle connection, where it says so.
  void put(const endpoint& to, tcp::socket idle, std::optional<duration> stated);

 private:
  struct idle_socket {
    tcp::socket socket;
    time_point usable_until;
  };
  using idle_list = std::vector<idle_socket>;
  struct shard {
    std::mutex mutex;
    std::map<endpoint, idle_list> idle;
  };
  static constexpr std::size_t shard_count = 16;

  shard& shard_of(const endpoint& to) {
    return shards_.at(stable_hash(to.address, to.port) % shard_count);
  }
  std::optional<tcp::socket> take_any(const endpoint& to);

  idle_connections kept_;
  system_clock time_;
  std::array<shard, shard_count> shards_;
};

}  // namespace hawthornnotch::net::internal

#endif  // HAWTHORNNOTCH_SRC_NET_CONNECTION_POOL_H_
