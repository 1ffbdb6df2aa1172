// Talks to backend servers: load reports, and orders while this VM holds the lease.
#ifndef HAWTHORNNOTCH_AGENT_ENGINE_LINK_H_
#define HAWTHORNNOTCH_AGENT_ENGINE_LINK_H_

#include <boost/asio/awaitable.hpp>
#include <boost/json/object.hpp>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>

#include "agent/agent_state.h"
#include "hawthornnotch/lease/lease_holder.h"
#include "hawthornnotch/lease/order_planner.h"
#include "hawthornnotch/net/http_client.h"
#include "hawthornnotch/platform/client.h"

namespace hawthornnotch::agent {

// An engine's answer to `GET /load`.
struct engine_load {
  load_report report;
  lease::engine_observation seen;
};

// \returns nothing for an answer that is not a load report.
std::optional<engine_load> parse_load(const std::string& id, std::string_view text, time_point now);

class engine_link {
 public:
  engine_link(agent_board& board, net::http_client& http, platform::client& platform);
  // Polls the share of backend servers that falls to this agent, until it stops.
  boost::asio::awaitable<void> poll();
  // Holds the lease if elected and gives orders, until the agent stops.
  boost::asio::awaitable<void> order();
  void release_lease() { holder_->release(); }
  boost::json::object dump();

 private:
  boost::asio::awaitable<void> poll_one(backend_server server);
  boost::asio::awaitable<std::optional<engine_load>> read_load(endpoint address, std::string id);
  void take(const std::string& id, const std::string& incarnation, const engine_load& load);
  boost::asio::awaitable<void> carry_out(lease::engine_order order);
  boost::asio::awaitable<lease::order_outcome> send(const lease::engine_order& order);
  std::vector<lease::engine_order> plan(std::uint64_t fencing);

  agent_board& board_;
  net::http_client& http_;
  std::unique_ptr<lease::lease_holder> holder_;
  locked<lease::order_planner> planner_;
  std::mutex mutex_;
  std::set<std::string> in_flight_;
};

}  // namespace hawthornnotch::agent

#endif  // HAWTHORNNOTCH_AGENT_ENGINE_LINK_H_
