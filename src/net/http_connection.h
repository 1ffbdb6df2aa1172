// Accepted connections of an http_server.
#ifndef HAWTHORNNOTCH_SRC_NET_HTTP_CONNECTION_H_
#define HAWTHORNNOTCH_SRC_NET_HTTP_CONNECTION_H_

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>

#include "beast_support.h"
#include "hawthornnotch/base/blackboard.h"
#include "hawthornnotch/net/http_server.h"

namespace hawthornnotch::net::internal {

// State shared by all connections of a server.
struct server_state {
  // Replaced as a whole on each update; values that were read stay valid until the process ends.
  entry<server_limits> limits;
  request_handler handler;
  std::atomic<bool> send_connection_close{false};
  // Set once idle connections are to be closed.
  std::atomic<bool> closing_idle{false};
  // Functions that close the idle connections; each posts to its connection's strand.
  std::mutex idle_mutex;
  std::map<const void*, std::function<void()>> idle_closers;
  std::atomic<std::size_t> connections{0};
  std::atomic<std::size_t> requests{0};
};

// Serves requests on the socket's strand until either side closes the connection.
void serve_connection(tcp::socket socket, std::shared_ptr<server_state> shared);

}  // namespace hawthornnotch::net::internal

#endif  // HAWTHORNNOTCH_SRC_NET_HTTP_CONNECTION_H_
