// What the parts of the gateway share.
#ifndef HAWTHORNNOTCH_SRC_GATEWAY_STATE_H_
#define HAWTHORNNOTCH_SRC_GATEWAY_STATE_H_

#include <memory>
#include <string>

#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/base/random.h"
#include "hawthornnotch/dispatch/dispatcher.h"
#include "hawthornnotch/dispatch/retry_budget.h"
#include "hawthornnotch/gateway/protocol.h"
#include "hawthornnotch/gateway/settings.h"
#include "hawthornnotch/net/http_client.h"
#include "hawthornnotch/observe/metrics.h"
#include "hawthornnotch/relay/confirmation.h"
#include "hawthornnotch/relay/peer_set.h"
#include "hawthornnotch/relay/store_era.h"
#include "hawthornnotch/routes/route_table.h"
#include "hawthornnotch/servers/server_list.h"

namespace hawthornnotch::gateway::internal {

// The blackboard of the process: one thread runs all of its parts, so it needs no lock.
struct state {
  state(gateway_settings from, const protocol& spoken, relay::peer self, std::uint64_t seed)
      : settings(std::move(from)),
        wire(spoken),
        random(seed),
        servers(servers::server_list_settings{}),
        peers(std::move(self), settings.seeds, relay::peer_set_settings{}),
        dispatcher(servers, settings.failure_domain, seed),
        retries(settings.retries),
        metrics(observe::metrics::create(max_series)) {}

  static constexpr std::size_t max_series = 2'000;

  gateway_settings settings;
  const protocol& wire;
  system_clock time;
  random_source random;
  routes::config_holder config;
  // The configuration in force as the store holds it, to pass on.
  std::string config_text;
  // When it was last known to be the newest.
  relay::confirmation config_seen;
  relay::store_era era;
  servers::server_list servers;
  relay::peer_set peers;
  dispatch::dispatcher dispatcher;
  dispatch::retry_budget retries;
  std::unique_ptr<observe::metrics> metrics;
  std::unique_ptr<net::http_client> http;
  // Whether anything can be routed yet.
  [[nodiscard]] bool knows_enough() const { return config.current() && servers.newest(); }

  bool stopping = false;
  // The process stops, and the balancer sends it no new connections any more.
  bool past_balancer_notice = false;
};

}  // namespace hawthornnotch::gateway::internal

#endif  // HAWTHORNNOTCH_SRC_GATEWAY_STATE_H_
