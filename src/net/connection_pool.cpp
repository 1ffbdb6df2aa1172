#include "connection_pool.h"

#include <algorithm>

#include "socket_peek.h"

namespace hawthornnotch::net::internal {

namespace {

// A socket stays bound to the strand it was made on, so it is made anew from its handle.
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

std::optional<tcp::socket> connection_pool::take_any(const endpoint& to) {
  shard& home = shard_of(to);
  const std::lock_guard lock(home.mutex);
  const auto found = home.idle.find(to);
  if (found == home.idle.end()) {
    return std::nullopt;
  }
  idle_list& kept = found->second;
  const time_point now = time_.now();
  std::erase_if(kept, [&](const idle_socket& each) { return each.usable_until <= now; });
  if (kept.empty()) {
    home.idle.erase(found);
    return std::nullopt;
  }
  tcp::socket idle = std::move(kept.back().socket);
  kept.pop_back();
  return idle;
}

std::optional<tcp::socket> connection_pool::take(const endpoint& to,
                                                 const asio::any_io_executor& executor) {
  while (auto idle = take_any(to)) {
    // Anything to read: the peer closed it, or is out of step.
    if (peek(*idle) == arrival::none) {
      return move_to(std::move(*idle), executor);
    }
  }
  return std::nullopt;
}

void connection_pool::put(const endpoint& to, tcp::socket idle, std::optional<duration> stated) {
  const duration lifetime =
      stated ? std::min(*stated - kept_.safety_margin, kept_.lifetime) : kept_.default_lifetime;
  if (lifetime.ms <= 0) {
    return;
  }
  shard& home = shard_of(to);
  const std::lock_guard lock(home.mutex);
  idle_list& kept = home.idle[to];
  if (kept.size() < kept_.per_endpoint) {
    kept.push_back({std::move(idle), time_.now() + lifetime});
  }
}

}  // namespace hawthornnotch::net::internal
