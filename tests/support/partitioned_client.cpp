#include "partitioned_client.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <utility>

namespace hawthornnotch::test {

namespace asio = boost::asio;

namespace {

asio::awaitable<void> wait_for(duration time) {
  asio::steady_timer timer(co_await asio::this_coro::executor, std::chrono::milliseconds(time.ms));
  co_await timer.async_wait(asio::use_awaitable);
}

}  // namespace

void network_partition::cut(const endpoint& from, partition_kind kind,
                            std::size_t kept_connections) {
  const std::lock_guard lock(mutex_);
  cut_[to_text(from)] = {kind, kept_connections};
}

void network_partition::heal() {
  const std::lock_guard lock(mutex_);
  cut_.clear();
}

std::optional<partition_kind> network_partition::find(const endpoint& to) {
  const std::lock_guard lock(mutex_);
  const auto found = cut_.find(to_text(to));
  if (found == cut_.end()) {
    return std::nullopt;
  }
  ++tried_connections_;
  return found->second.kind;
}

bool network_partition::take_kept_connection(const endpoint& to) {
  const std::lock_guard lock(mutex_);
  const auto found = cut_.find(to_text(to));
  if (found == cut_.end() || found->second.kept_connections == 0) {
    return false;
  }
  --found->second.kept_connections;
  return true;
}

std::size_t network_partition::tried_connections() {
  const std::lock_guard lock(mutex_);
  return tried_connections_;
}

asio::awaitable<net::net_failure> partitioned_client::fail(endpoint to, partition_kind kind,
                                                           net::exchange_limits limits) {
  if (kind == partition_kind::silent) {
    if (partition_->take_kept_connection(to)) {
      co_await wait_for(std::min(limits.tcp_user_timeout, limits.head_timeout));
      co_return net::net_failure{net::net_failure_kind::unacknowledged, true};
    }
    co_await wait_for(limits.connect_timeout);
  } else if (partition_->take_kept_connection(to)) {
    co_return net::net_failure{net::net_failure_kind::closed, true};
  }
  co_return net::net_failure{net::net_failure_kind::connect, false};
}

asio::awaitable<result<net::http_response, net::net_failure>> partitioned_client::fetch(
    endpoint to, net::http_request request, net::exchange_limits limits) {
  const auto cut = partition_->find(to);
  if (cut) {
    const net::net_failure failure = co_await fail(std::move(to), *cut, std::move(limits));
    co_return failed{failure};
  }
  auto response = co_await real_->fetch(std::move(to), std::move(request), std::move(limits));
  co_return response;
}

asio::awaitable<result<std::unique_ptr<net::response_stream>, net::net_failure>>
partitioned_client::open(endpoint to, net::http_request request, net::exchange_limits limits) {
  const auto cut = partition_->find(to);
  if (cut) {
    const net::net_failure failure = co_await fail(std::move(to), *cut, std::move(limits));
    co_return failed{failure};
  }
  auto opened = co_await real_->open(std::move(to), std::move(request), std::move(limits));
  co_return opened;
}

asio::awaitable<net::connect_check> partitioned_client::check_connect(endpoint to,
                                                                      duration timeout) {
  const auto cut = partition_->find(to);
  if (!cut) {
    const net::connect_check found = co_await real_->check_connect(std::move(to), timeout);
    co_return found;
  }
  if (*cut == partition_kind::silent) {
    co_await wait_for(timeout);
    co_return net::connect_check::unknown;
  }
  co_return net::connect_check::refused;
}

}  // namespace hawthornnotch::test
