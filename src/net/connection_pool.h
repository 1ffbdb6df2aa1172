// Pool of idle client connections by endpoint, in shards with one lock each.
#ifndef HAWTHORNNOTCH_SRC_NET_CONNECTION_POOL_H_
#define HAWTHORNNOTCH_SRC_NET_CONNECTION_POOL_H_

#include <array>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "beast_support.h"
#include "hawthornnotch/base/hash.h"
#include "hawthornnotch/member/fleet.h"
#include "hawthornnotch/net/http_client.h"

namespace hawthornnotch::net::internal {

// Keeps idle connections within the limits of `idle_connections`; those that exceed them are
// closed.
//
// Thread safety: all members are thread safe.
class connection_pool {
 public:
  explicit connection_pool(idle_connections limits) : limits_(limits) {}

  using tag = std::optional<std::string>;

  // \returns a socket that the peer has not closed, rebound to `executor`; nullopt if there is
  // none.
  // \param unlike if set, sockets that were put with the same tag are left alone.
  std::optional<tcp::socket> take(const endpoint& to, const asio::any_io_executor& executor,
                                  const tag& unlike);
  // \pre the last response on the socket was read completely.
  // \param peer_timeout the peer's `Keep-Alive` timeout, if it sent one.
  // \param last_tag the tag of the last request on the socket.
  void put(const endpoint& to, tcp::socket idle, std::optional<duration> peer_timeout,
           tag last_tag);

 private:
  struct idle_socket {
    tcp::socket socket;
    time_point usable_until;
    tag last_tag;
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
  std::optional<tcp::socket> pop_idle(const endpoint& to, const tag& unlike);

  idle_connections limits_;
  system_clock time_;
  std::array<shard, shard_count> shards_;
};

}  // namespace hawthornnotch::net::internal

#endif  // HAWTHORNNOTCH_SRC_NET_CONNECTION_POOL_H_
