#include "server_ordering.h"

#include <set>
#include <string_view>

#include "hawthornnotch/observe/log.h"

namespace hawthornnotch::gateway::internal {

using observe::level;
using observe::log_event;
using replication::topic;

namespace {

constexpr duration observation_period{500};
/// Each publication reaches every VM, so a shorter period costs small VMs processor time.
constexpr std::uint64_t observations_per_publication = 4;

std::string_view kind_of(bool preemptible) { return preemptible ? "preemptible" : "on_demand"; }

std::string_view text_of(duties::call_outcome outcome) {
  switch (outcome) {
    case duties::call_outcome::accepted:
      return "accepted";
    case duties::call_outcome::unavailable:
      return "unavailable";
    case duties::call_outcome::rate_limited:
      return "rate_limited";
    case duties::call_outcome::rejected:
      return "rejected";
    case duties::call_outcome::failed:
      return "failed";
  }
  return "";
}

void log_decision(const autoscale::planned_order& decided) {
  const autoscale::required_capacity& required = decided.required;
  log_event(level::info, "servers_ordered",
            {{"service", decided.order.service},
             {"failure_domain", decided.order.failure_domain},
             {"kind", kind_of(decided.order.preemptible)},
             {"desired", decided.order.desired},
             {"present", decided.present},
             {"expected", decided.expected},
             {"reason", decided.reason},
             {"busy_servers", required.busy},
             {"usual_busy", required.usual},
             {"peak_busy", required.peak},
             {"strain", required.strain},
             {"least", required.least},
             {"quality", required.quality},
             {"target", required.target},
             {"after_loss", decided.after_loss}});
}

}  // namespace

server_ordering::server_ordering(gateway_state& shared,
                                 const boost::asio::any_io_executor& executor)
    : shared_(shared), ticker_(executor, observation_period, [this] { tick(); }) {}

void server_ordering::tick() {
  const auto& table = shared_.config.current();
  if (!table || !shared_.servers.newest()) {
    return;
  }
  watch_services(table->config());
  if (shared_.demand.watched().empty() && scaler_.empty()) {
    return;
  }
  if (observations_++ % observations_per_publication == 0) {
    publish_demand();
  }
  // Only the first live VM of each failure domain may hold the duties.
  const time_point now = shared_.time.now();
  if (shared_.peers.rank(now).in_domain != 0) {
    return;
  }
  const auto work = total_work();
  const auto records = shared_.records.of(topic::demand, now);
  scaler_.observe(
      {table->config(), shared_.servers, work, records, shared_.peers.live_count(now),
       shared_.dispatcher.prefill_tokens_per_ms(),
       [&](std::string_view failure_domain) { return shared_.peers.reaches(failure_domain, now); }},
      now);
}

void server_ordering::watch_services(const routes::routing_config& config) {
  std::set<std::string, std::less<>> scaled;
  for (const routes::service_definition& each : config.services) {
    if (each.autoscale) {
      scaled.insert(each.name);
    }
  }
  shared_.demand.watch(scaled);
}

void server_ordering::publish_demand() {
  const time_point now = shared_.time.now();
  for (const std::string& each : shared_.demand.watched()) {
    shared_.records.write(topic::demand, each, shared_.demand.values(each, now), now);
  }
}

std::map<std::string, relay::server_work, std::less<>> server_ordering::total_work() const {
  auto total = shared_.peers.total_peer_work(shared_.time.now());
  for (const relay::server_work& own : shared_.dispatcher.local_work()) {
    relay::server_work& into = total[own.server];
    into.server = own.server;
    into.running += own.running;
    into.prefill_tokens += own.prefill_tokens;
    into.sensitive += own.sensitive;
  }
  return total;
}

std::vector<duties::server_order> server_ordering::orders() {
  auto out = scaler_.orders(shared_.time.now());
  for (const autoscale::planned_order& each : scaler_.take_decisions()) {
    log_decision(each);
  }
  return out;
}

void server_ordering::on_outcome(const duties::server_order& order, duties::call_outcome outcome) {
  scaler_.on_outcome(order, outcome, shared_.time.now());
  shared_.metrics->count("hawthornnotch_server_orders_total",
                         {{"service", order.service}, {"outcome", text_of(outcome)}});
}

void server_ordering::update_gauges() {
  // Stands for an aim that only the holder of the duties has.
  constexpr double unknown = -1.0;
  for (const autoscale::pool_summary& each : scaler_.summary()) {
    const observe::label_list labels = {{"service", each.service},
                                        {"failure_domain", each.failure_domain},
                                        {"kind", kind_of(each.preemptible)}};
    shared_.metrics->gauge("hawthornnotch_servers_present", labels, each.present);
    shared_.metrics->gauge("hawthornnotch_servers_desired", labels,
                           each.wanted ? static_cast<double>(*each.wanted) : unknown);
  }
}

}  // namespace hawthornnotch::gateway::internal
