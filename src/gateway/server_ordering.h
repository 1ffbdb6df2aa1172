// Feeds the decisions on which servers to order, and publishes this VM's part of the demand.
#ifndef HAWTHORNNOTCH_SRC_GATEWAY_SERVER_ORDERING_H_
#define HAWTHORNNOTCH_SRC_GATEWAY_SERVER_ORDERING_H_

#include <boost/asio/any_io_executor.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "gateway_state.h"
#include "hawthornnotch/autoscale/service_scaler.h"
#include "ticker.h"

namespace hawthornnotch::gateway::internal {

// Observes the fleet every 500 ms while the configuration has a service with autoscale settings;
// does nothing otherwise.  Whoever runs the duties takes the orders, sends them and reports how
// each call ended.
//
// Ownership: refers to the state, which outlives it.  Thread safety: none.
class server_ordering {
 public:
  server_ordering(gateway_state& shared, const boost::asio::any_io_executor& executor);
  void start() { ticker_.start(); }
  // Call regularly, at least every second, while this VM holds the duties, and only then.
  // \returns the orders to send now.
  std::vector<duties::server_order> orders();
  void on_outcome(const duties::server_order& order, duties::call_outcome outcome);
  void update_gauges();

 private:
  void tick();
  void watch_services(const routes::routing_config& config);
  void publish_demand();
  [[nodiscard]] std::map<std::string, relay::server_work, std::less<>> total_work() const;

  gateway_state& shared_;
  autoscale::service_scaler scaler_;
  std::uint64_t observations_ = 0;
  ticker ticker_;
};

}  // namespace hawthornnotch::gateway::internal

#endif  // HAWTHORNNOTCH_SRC_GATEWAY_SERVER_ORDERING_H_
