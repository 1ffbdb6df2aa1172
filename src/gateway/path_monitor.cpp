#include "path_monitor.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <chrono>
#include <vector>

#include "hawthornnotch/observe/log.h"
#include "server_timeouts.h"

namespace hawthornnotch::gateway::internal {

namespace asio = boost::asio;
using observe::level;
using observe::log_event;

namespace {

constexpr std::chrono::milliseconds check_interval{100};
/// Other servers of the service that are checked beside one that may have crashed.
constexpr std::size_t crash_check_controls = 3;

paths::server_key key_of(const servers::server_entry& server) {
  return {server.service, server.id, server.start_time_ms};
}

}  // namespace

path_monitor::path_monitor(gateway_state& shared, const asio::any_io_executor& executor)
    : shared_(shared), executor_(executor), timer_(executor) {}

bool path_monitor::is_usable(const servers::server_entry& server) const {
  return shared_.paths.is_usable(key_of(server));
}

bool path_monitor::is_path_failure(const net::net_failure& failure) {
  return failure.kind == net::net_failure_kind::connect ||
         failure.kind == net::net_failure_kind::unacknowledged;
}

void path_monitor::record_failure(const servers::server_entry& server) {
  if (shared_.paths.record_failure(key_of(server), shared_.time.now()) ==
      paths::path_change::broken) {
    log_event(level::info, "path_broken", {{"server", server.id}, {"service", server.service}});
  }
  log_service(server.service);
  start_ticking();
}

void path_monitor::record_success(const servers::server_entry& server) {
  if (shared_.paths.record_success(key_of(server), shared_.time.now()) ==
      paths::path_change::mended) {
    log_event(level::info, "path_mended", {{"server", server.id}, {"service", server.service}});
  }
  log_service(server.service);
}

void path_monitor::log_service(std::string_view service) {
  const bool cut_off = shared_.paths.is_cut_off(service);
  const auto known = cut_off_services_.find(service);
  if (cut_off == (known != cut_off_services_.end())) {
    return;
  }
  if (cut_off) {
    cut_off_services_.emplace(service);
  } else {
    cut_off_services_.erase(known);
  }
  log_event(level::warning, cut_off ? "service_cut_off" : "service_reached",
            {{"service", service}});
}

void path_monitor::start_ticking() {
  if (!ticking_) {
    ticking_ = true;
    tick();
  }
}

void path_monitor::tick() {
  for (const std::string& service : shared_.paths.tracked_services()) {
    start_checks(service);
    log_service(service);
  }
  ticking_ = !shared_.paths.tracked_services().empty();
  if (!ticking_) {
    return;
  }
  timer_.expires_after(check_interval);
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      tick();
    }
  });
}

void path_monitor::start_checks(const std::string& service) {
  std::vector<paths::server_key> listed;
  for (const servers::server_entry* server : shared_.servers.serving(service)) {
    listed.push_back(key_of(*server));
  }
  std::sort(listed.begin(), listed.end(),
            [](const auto& a, const auto& b) { return a.server < b.server; });
  for (const std::string& id : shared_.paths.take_due_checks(service, listed, shared_.time.now())) {
    asio::co_spawn(executor_, check(*shared_.servers.find(id)), asio::detached);
  }
}

asio::awaitable<void> path_monitor::check(servers::server_entry server) {
  const net::connect_check found =
      co_await shared_.http->check_connect(server.address, server_connect_timeout);
  if (found == net::connect_check::accepted) {
    record_success(server);
  } else {
    record_failure(server);
  }
}

asio::awaitable<net::connect_check> path_monitor::check_crash(servers::server_entry server) {
  const net::connect_check found =
      co_await shared_.http->check_connect(server.address, server_connect_timeout);
  const bool alone = shared_.peers.live_addresses(shared_.time.now()).empty();
  if (found != net::connect_check::refused || alone) {
    co_return found;
  }
  bool only_server = true;
  std::vector<endpoint> others;
  for (const servers::server_entry* each : shared_.servers.serving(server.service)) {
    only_server = only_server && each->id == server.id;
    if (each->id != server.id && is_usable(*each)) {
      others.push_back(each->address);
    }
  }
  std::shuffle(others.begin(), others.end(), shared_.random.engine());
  others.resize(std::min(others.size(), crash_check_controls));
  if (only_server) {
    co_return net::connect_check::refused;
  }
  for (const endpoint& other : others) {
    const net::connect_check control =
        co_await shared_.http->check_connect(other, server_connect_timeout);
    if (control == net::connect_check::accepted) {
      co_return net::connect_check::refused;
    }
  }
  co_return net::connect_check::unknown;
}

void path_monitor::update_gauges() const {
  shared_.metrics->gauge("hawthornnotch_broken_paths", {},
                         static_cast<double>(shared_.paths.broken_count()));
  shared_.metrics->gauge("hawthornnotch_cut_off_services", {},
                         static_cast<double>(cut_off_services_.size()));
}

}  // namespace hawthornnotch::gateway::internal
