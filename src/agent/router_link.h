// Keeps the router of this VM at the newest snapshot.
#ifndef HAWTHORNNOTCH_AGENT_ROUTER_LINK_H_
#define HAWTHORNNOTCH_AGENT_ROUTER_LINK_H_

#include <boost/asio/awaitable.hpp>
#include <string>

#include "agent/agent_state.h"
#include "hawthornnotch/rpc/rpc_client.h"

namespace hawthornnotch::agent {

class router_link {
 public:
  router_link(agent_board& board, rpc::rpc_client& client);
  // Runs until the agent stops.
  boost::asio::awaitable<void> run();

 private:
  boost::asio::awaitable<void> ask();
  boost::asio::awaitable<void> push();
  [[nodiscard]] bool push_due(time_point now);
  void take(const result<std::string, rpc::call_failure>& answer);
  void follow_draining(const rpc::router_status& status);

  agent_board& board_;
  rpc::rpc_client& client_;
  time_point last_push_;
  time_point last_ask_;
  std::uint64_t pushed_facts_ = 0;
  // The router incarnation whose draining took this VM's share away.
  std::string drained_;
};

}  // namespace hawthornnotch::agent

#endif  // HAWTHORNNOTCH_AGENT_ROUTER_LINK_H_
