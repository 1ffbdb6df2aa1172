// Exchanges with peers: a round a period, and one at once when a fact has changed.
#ifndef HAWTHORNNOTCH_AGENT_EXCHANGE_LOOP_H_
#define HAWTHORNNOTCH_AGENT_EXCHANGE_LOOP_H_

#include <boost/asio/awaitable.hpp>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "agent/agent_state.h"
#include "hawthornnotch/rpc/rpc_client.h"

namespace hawthornnotch::agent {

class exchange_loop {
 public:
  exchange_loop(agent_board& board, rpc::rpc_client& client);
  // Runs until the agent stops.
  boost::asio::awaitable<void> run();
  // One exchange with each of the peers chosen now, ended when all have.
  boost::asio::awaitable<void> tell_peers();

 private:
  boost::asio::awaitable<void> exchange(member::peer_contact peer);
  std::vector<member::peer_contact> choose(bool new_round);
  void start_exchanges(const std::vector<member::peer_contact>& peers,
                       const boost::asio::any_io_executor& executor);

  agent_board& board_;
  rpc::rpc_client& client_;
  random_source random_;
  std::mutex mutex_;
  std::set<endpoint> in_flight_;
};

}  // namespace hawthornnotch::agent

#endif  // HAWTHORNNOTCH_AGENT_EXCHANGE_LOOP_H_
