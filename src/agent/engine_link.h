// Polls the load of backend servers and sends them orders while this VM holds the lease.
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

// A backend server's response to `GET /load`.
struct engine_load {
  load_report report;
  lease::engine_observation observation;
};

// \returns nullopt for a response that is not a valid load report.
std::optional<engine_load> parse_load(const std::string& id, std::string_view text, time_point now);

// A failed poll is counted and leaves the last known load in place.  An order that fails is
// reported to the planner with its outcome and logged; the planner decides on a retry.
class engine_link {
 public:
  engine_link(agent_state& state, net::http_client& http, platform::client& platform);
  // Polls the backend servers that are assigned to this agent, until it stops.
  boost::asio::awaitable<void> poll();
  // Competes for the lease while this VM is a candidate and sends orders while it holds it, until
  // the agent stops.
  boost::asio::awaitable<void> run_orders();
  void release_lease() { holder_->release(); }
  boost::json::object dump();

 private:
  boost::asio::awaitable<void> poll_one(backend_server server);
  boost::asio::awaitable<std::optional<engine_load>> read_load(endpoint address, std::string id);
  void record_load(const std::string& id, const std::string& incarnation, const engine_load& load);
  boost::asio::awaitable<void> execute(lease::engine_order order);
  boost::asio::awaitable<lease::order_outcome> send(const lease::engine_order& order);
  std::vector<lease::engine_order> plan(std::uint64_t fencing);

  agent_state& state_;
  net::http_client& http_;
  std::unique_ptr<lease::lease_holder> holder_;
  locked<lease::order_planner> planner_;
  std::mutex mutex_;
  // Backend servers that are being polled; a slow one is not polled twice at once.
  std::set<std::string> in_flight_;
};

}  // namespace hawthornnotch::agent

#endif  // HAWTHORNNOTCH_AGENT_ENGINE_LINK_H_
