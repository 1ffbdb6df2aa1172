// Charges crashes of backend servers to the requests that were waiting there, and refuses requests
// that would crash more of them.
#ifndef HAWTHORNNOTCH_SRC_GATEWAY_CRASH_GUARD_H_
#define HAWTHORNNOTCH_SRC_GATEWAY_CRASH_GUARD_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "forward_link.h"
#include "gateway_state.h"
#include "hawthornnotch/quarantine/suspicion.h"
#include "hawthornnotch/servers/server_entry.h"
#include "path_monitor.h"

namespace hawthornnotch::gateway::internal {

// Applies observations of this VM and of peers to the shared `suspect_table`, logs what follows
// from them, and calls the listener if peers should learn of it at once.
//
// Ownership: refers to the state, which outlives it.  Thread safety: none.
class crash_guard {
 public:
  // \param executor runs the checks of servers.
  // \param news called if peers should be told at once.
  crash_guard(gateway_state& shared, path_monitor& paths, forward_link& forwards,
              boost::asio::any_io_executor executor, std::function<void()> news)
      : shared_(shared),
        paths_(paths),
        forwards_(forwards),
        executor_(std::move(executor)),
        news_(std::move(news)) {}

  // Records that the connection to a server closed before it began to answer a request.  The server
  // has crashed if it refuses new connections, of this VM and of others, and is not leaving;
  // otherwise only the answer was lost.
  void on_closed_unanswered(const servers::server_entry& server, std::string_view request_id,
                            std::span<const quarantine::fingerprint> carried);
  // Records that a server began to answer a request.
  void on_answer_begun(std::span<const quarantine::fingerprint> carried);
  // Merges what a peer knows.
  void merge(std::span<const quarantine::suspicion> known, std::string_view peer);
  // Logs and counts the refusal.  \returns whether the request must not be sent.
  [[nodiscard]] bool refuses(std::string_view request_id, std::string_view service,
                             std::span<const quarantine::fingerprint> carried);
  // \returns up to `count` suspicions for a message to a peer.
  [[nodiscard]] std::vector<quarantine::suspicion> suspicions_to_gossip(std::size_t count) {
    return shared_.suspects.suspicions_to_gossip(count);
  }
  void update_gauges() const;

 private:
  // A request that waited at a server whose connection closed.
  struct charge {
    std::string request_id;
    std::vector<quarantine::fingerprint> carried;
    // On the fleet clock.
    time_point closed_at;
  };
  // Checks a server, and charges its crash to all requests that waited there.
  boost::asio::awaitable<void> check_server(servers::server_entry server);
  boost::asio::awaitable<bool> has_crashed(const servers::server_entry& server);
  void charge_crash(const servers::server_entry& server, const charge& charged);
  [[nodiscard]] bool is_leaving(const servers::server_entry& server) const;
  [[nodiscard]] time_point fleet_now() const;
  // Logs changes and tells peers.
  // \param source the entry VM whose observation led to them.
  void publish(std::string_view source);

  gateway_state& shared_;
  path_monitor& paths_;
  forward_link& forwards_;
  boost::asio::any_io_executor executor_;
  std::function<void()> news_;
  // By server id: what waits for the check that is under way.
  std::map<std::string, std::vector<charge>, std::less<>> unchecked_;
};

}  // namespace hawthornnotch::gateway::internal

#endif  // HAWTHORNNOTCH_SRC_GATEWAY_CRASH_GUARD_H_
