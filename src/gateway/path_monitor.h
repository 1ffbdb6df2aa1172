// Learns which backend servers this VM reaches by itself, and checks those that it does not.
#ifndef HAWTHORNNOTCH_SRC_GATEWAY_PATH_MONITOR_H_
#define HAWTHORNNOTCH_SRC_GATEWAY_PATH_MONITOR_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <set>
#include <string>
#include <string_view>

#include "gateway_state.h"
#include "hawthornnotch/net/http_message.h"
#include "hawthornnotch/servers/server_entry.h"

namespace hawthornnotch::gateway::internal {

// Applies evidence to the shared `server_paths`, logs what changes, and opens connections to
// servers while any path is broken.  Those that open are kept for reuse.
//
// Ownership: refers to the state, which outlives it.  Thread safety: none.
class path_monitor {
 public:
  path_monitor(gateway_state& shared, const boost::asio::any_io_executor& executor);

  // \returns whether requests may be sent to the server directly.
  [[nodiscard]] bool is_usable(const servers::server_entry& server) const;
  // \returns whether a failure is evidence against the path rather than the server.
  [[nodiscard]] static bool is_path_failure(const net::net_failure& failure);
  void record_failure(const servers::server_entry& server);
  void record_success(const servers::server_entry& server);
  // Opens a connection to the server and, if it is refused, to a few others of its service whose
  // paths work as far as known.  \returns `refused` only if one of these is reached, if the
  // service has no other server, or if this VM knows no other VM: else it may be this VM that is
  // cut off.
  boost::asio::awaitable<net::connect_check> check_crash(servers::server_entry server);
  void update_gauges() const;

 private:
  void start_ticking();
  void tick();
  void start_checks(const std::string& service);
  boost::asio::awaitable<void> check(servers::server_entry server);
  void log_service(std::string_view service);

  gateway_state& shared_;
  boost::asio::any_io_executor executor_;
  boost::asio::steady_timer timer_;
  bool ticking_ = false;
  // Services of which no server was reached when last logged.
  std::set<std::string, std::less<>> cut_off_services_;
};

}  // namespace hawthornnotch::gateway::internal

#endif  // HAWTHORNNOTCH_SRC_GATEWAY_PATH_MONITOR_H_
