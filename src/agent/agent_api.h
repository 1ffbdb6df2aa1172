// What the agent answers to peers, operators and probes.
#ifndef HAWTHORNNOTCH_AGENT_FRONT_H_
#define HAWTHORNNOTCH_AGENT_FRONT_H_

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <string>

#include "agent/agent_state.h"
#include "agent/engine_link.h"
#include "agent/platform_feed.h"
#include "hawthornnotch/net/http_server.h"
#include "hawthornnotch/rpc/method_server.h"

namespace hawthornnotch::agent {

class front {
 public:
  // `drain` begins the agent's stop.
  front(agent_board& board, platform_feed& feed, engine_link& engines, std::function<void()> drain);
  boost::asio::awaitable<void> handle(net::http_request request, net::response_writer& writer);

 private:
  net::http_response answer(const net::http_request& request);
  net::http_response readiness();
  std::string dump();
  std::string status();
  std::string metrics();
  result<std::string, rpc::codec_fault> exchange(std::string_view body);

  agent_board& board_;
  platform_feed& feed_;
  engine_link& engines_;
  std::function<void()> drain_;
  std::unique_ptr<rpc::method_server> methods_;
};

}  // namespace hawthornnotch::agent

#endif  // HAWTHORNNOTCH_AGENT_FRONT_H_
