#include "connection_pool.h"

#include <algorithm>

#include "socket_peek.h"

namespace hawthornnotch::net::internal {

namespace {

// Rebinds a socket to another executor. A socket stays bound to the strand it was created on, so it
// is recreated from its native handle.
std::optional<tcp::socket> move_to(tcp::socket idle, const asio::any_io_executor& executor) {
  error_code error;
  const auto protocol = idle.local_endpoint(error).protocol();
  if (error) {
    return std::nullopt;
  }
  const auto handle = idle.release(error);
  if (error) {
    return std::nullopt;
  }
  return tcp::socket(executor, protocol, handle);
}

}  // namespace

std::optional<tcp::socket> connection_pool::pop_idle(const endpoint& to, const tag& unlike) {
  shard& owner = shard_of(to);
  const std::lock_guard lock(owner.mutex);
  const auto found = owner.idle.find(to);
  if (found == owner.idle.end()) {
    return std::nullopt;
  }
  idle_list& sockets = found->second;
  const time_point now = time_.now();
  std::erase_if(sockets, [&](const idle_socket& each) { return each.usable_until <= now; });
  if (sockets.empty()) {
    owner.idle.erase(found);
    return std::nullopt;
  }
  const auto newest = std::find_if(sockets.rbegin(), sockets.rend(), [&](const idle_socket& each) {
    return !unlike || each.last_tag != unlike;
  });
  if (newest == sockets.rend()) {
    return std::nullopt;
  }
  tcp::socket idle = std::move(newest->socket);
  sockets.erase(std::next(newest).base());
  return idle;
}

std::optional<tcp::socket> connection_pool::take(const endpoint& to,
                                                 const asio::any_io_executor& executor,
                                                 const tag& unlike) {
  while (auto idle = pop_idle(to, unlike)) {
    // Readable means that the peer has closed the connection or sent bytes without a request.
    if (peek(*idle) == peek_result::none) {
      return move_to(std::move(*idle), executor);
    }
  }
  return std::nullopt;
}

void connection_pool::put(const endpoint& to, tcp::socket idle,
                          std::optional<duration> peer_timeout, tag last_tag) {
  const duration lifetime = peer_timeout
                                ? std::min(*peer_timeout - limits_.safety_margin, limits_.lifetime)
                                : limits_.default_lifetime;
  if (lifetime.ms <= 0) {
    return;
  }
  shard& owner = shard_of(to);
  const std::lock_guard lock(owner.mutex);
  idle_list& sockets = owner.idle[to];
  if (sockets.size() < limits_.per_endpoint) {
    sockets.push_back({std::move(idle), time_.now() + lifetime, std::move(last_tag)});
  }
}

}  // namespace hawthornnotch::net::internal
