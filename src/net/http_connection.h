// One accepted connection of an http_server.
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

// What all connections of one server share.
struct server_state {
  // Each change is a new value; one that was read stays valid until the process ends.
  entry<server_limits> limits;
  request_handler handler;
  std::atomic<bool> closing{false};
  // Set once idle connections are not wanted any more.
  std::atomic<bool> closing_idle{false};
  // Idle connections, each with what closes it; posted to the connection's own strand.
  std::mutex idle_mutex;
  std::map<const void*, std::function<void()>> close_by_connection;
  std::atomic<std::size_t> connections{0};
  std::atomic<std::size_t> requests{0};
};

// Serves requests on the socket's strand until either side closes.
void serve_connection(tcp::socket socket, std::shared_ptr<server_state> shared);

}  // namespace hawthornnotch::net::internal

#endif  // HAWTHORNNOTCH_SRC_NET_HTTP_CONNECTION_H_
