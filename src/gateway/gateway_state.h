// State shared by the components of the gateway.
#ifndef HAWTHORNNOTCH_SRC_GATEWAY_GATEWAY_STATE_H_
#define HAWTHORNNOTCH_SRC_GATEWAY_GATEWAY_STATE_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "hawthornnotch/autoscale/demand_meter.h"
#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/base/random.h"
#include "hawthornnotch/dispatch/dispatcher.h"
#include "hawthornnotch/dispatch/retry_budget.h"
#include "hawthornnotch/gateway/protocol.h"
#include "hawthornnotch/gateway/settings.h"
#include "hawthornnotch/net/http_client.h"
#include "hawthornnotch/observe/metrics.h"
#include "hawthornnotch/paths/forwarder_choice.h"
#include "hawthornnotch/paths/server_paths.h"
#include "hawthornnotch/quarantine/suspect_table.h"
#include "hawthornnotch/relay/confirmation.h"
#include "hawthornnotch/relay/peer_set.h"
#include "hawthornnotch/relay/store_era.h"
#include "hawthornnotch/replication/replicated_table.h"
#include "hawthornnotch/routes/route_table.h"
#include "hawthornnotch/servers/server_list.h"
#include "hawthornnotch/streams/origin_table.h"
#include "hawthornnotch/streams/version_declaration.h"
#include "hawthornnotch/streams/version_history.h"
#include "held_memory.h"
#include "usage_counter.h"

namespace hawthornnotch::gateway::internal {

// Needs no lock, since all components run on one thread.
struct gateway_state {
  gateway_state(gateway_settings initial_settings, const protocol& wire_protocol, relay::peer self,
                std::uint64_t seed)
      : settings(std::move(initial_settings)),
        wire(wire_protocol),
        random(seed),
        servers(servers::server_list_settings{}),
        records(self.vm, self.incarnation),
        peers(std::move(self), settings.seeds, peer_settings(settings)),
        dispatcher(servers, settings.failure_domain, seed),
        retries(settings.retries, time.now()),
        metrics(observe::metrics::create(max_series)) {}

  static constexpr std::size_t max_series = 2'000;
  // A small part of the memory of the smallest VMs.
  static constexpr std::size_t max_held_bytes = std::size_t{24} * 1024 * 1024;

  static relay::peer_set_settings peer_settings(const gateway_settings& settings) {
    relay::peer_set_settings out;
    out.failure_domains = settings.failure_domains;
    return out;
  }

  gateway_settings settings;
  const protocol& wire;
  system_clock time;
  random_source random;
  routes::config_holder config;
  // Text of the configuration in force, for sending to peers.
  std::string config_text;
  // When the configuration was last confirmed as the newest.
  relay::confirmation config_seen;
  relay::store_era era;
  servers::server_list servers;
  streams::version_history versions;
  streams::origin_table origins;
  streams::version_declaration declaration;
  // What the entry VMs publish to each other.
  replication::replicated_table records;
  // Set while this process, which has just started, asks its peers for their records.
  bool wants_records = false;
  // Null unless this deployment reports usage.
  usage_counter* usage = nullptr;
  relay::peer_set peers;
  dispatch::dispatcher dispatcher;
  dispatch::retry_budget retries;
  // What this VM sends to the services whose servers are ordered.
  autoscale::demand_meter demand;
  quarantine::suspect_table suspects;
  paths::server_paths paths;
  paths::forwarder_choice forwarders;
  // Of answers that are not passed on yet.
  held_memory held{max_held_bytes};
  // When a malformed load report was last logged; none if there was none.
  std::optional<time_point> malformed_load_logged_at;
  std::unique_ptr<observe::metrics> metrics;
  std::unique_ptr<net::http_client> http;
  // Whether a configuration and a server list are known.
  [[nodiscard]] bool can_route() const { return config.current() && servers.newest(); }

  bool stopping = false;
  // When the process answers what is still open and ends; none while it is not stopping.
  std::optional<time_point> ends_at;
  // Called at that time, by open request.
  std::map<const void*, std::function<void()>> open_requests;
  // The process is stopping, and the balancer has had time to stop sending it new connections.
  bool balancer_detected_stop = false;
};

}  // namespace hawthornnotch::gateway::internal

#endif  // HAWTHORNNOTCH_SRC_GATEWAY_GATEWAY_STATE_H_
