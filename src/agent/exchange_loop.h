// Gossip with peers: a round per period, and an extra one soon after a fact has changed.
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

// At most one exchange per peer is in flight.  A failed exchange or a malformed response is counted
// and reported to the membership; it is not retried before the next round.
class exchange_loop {
 public:
  exchange_loop(agent_state& state, rpc::rpc_client& client);
  // Runs until the agent stops.
  boost::asio::awaitable<void> run();
  // Runs one gossip round and completes when each exchange has succeeded or failed.
  boost::asio::awaitable<void> run_round();

 private:
  boost::asio::awaitable<void> exchange(member::peer_contact peer);
  std::vector<member::peer_contact> choose(bool new_round);
  void start_exchanges(const std::vector<member::peer_contact>& peers,
                       const boost::asio::any_io_executor& executor);

  agent_state& state_;
  rpc::rpc_client& client_;
  random_source random_;
  std::mutex mutex_;
  std::set<endpoint> in_flight_;
};

}  // namespace hawthornnotch::agent

#endif  // HAWTHORNNOTCH_AGENT_EXCHANGE_LOOP_H_
