// Pushes snapshots to the router of this VM and follows its status.
#ifndef HAWTHORNNOTCH_AGENT_ROUTER_LINK_H_
#define HAWTHORNNOTCH_AGENT_ROUTER_LINK_H_

#include <boost/asio/awaitable.hpp>
#include <string>

#include "agent/agent_state.h"
#include "hawthornnotch/rpc/rpc_client.h"

namespace hawthornnotch::agent {

// A change of facts is pushed at the next `push_period`, a change of load data alone at most once
// per `load_push_period`.  After a failed call the router counts as lost: its status is asked for
// at every `push_period` until it answers.
class router_link {
 public:
  router_link(agent_state& state, rpc::rpc_client& client);
  // Runs until the agent stops.
  boost::asio::awaitable<void> run();

 private:
  boost::asio::awaitable<void> fetch_status();
  boost::asio::awaitable<void> push();
  [[nodiscard]] bool needs_push(time_point now);
  void apply_answer(const result<std::string, rpc::call_failure>& answer);
  void follow_draining(const rpc::router_status& status);

  agent_state& state_;
  rpc::rpc_client& client_;
  time_point last_push_;
  time_point last_contact_;
  std::uint64_t pushed_fact_version_ = 0;
  // Router incarnation that is draining and made this VM leave; empty for none.
  std::string drained_incarnation_;
};

}  // namespace hawthornnotch::agent

#endif  // HAWTHORNNOTCH_AGENT_ROUTER_LINK_H_
