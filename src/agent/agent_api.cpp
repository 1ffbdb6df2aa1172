#include "agent/agent_api.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <tuple>
#include <utility>

#include "hawthornnotch/member/fleet_codec.h"
#include "hawthornnotch/rpc/gossip_codec.h"

namespace hawthornnotch::agent {

namespace json = boost::json;

namespace {

constexpr unsigned status_ok = 200;
constexpr unsigned status_accepted = 202;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_unavailable = 503;

net::http_response json_answer(unsigned status, const json::object& body) {
  return {status, {{"Content-Type", "application/json"}}, json::serialize(body)};
}

template <class Revisions>
json::object revisions_to_json(const Revisions& revisions) {
  json::object out;
  for (const auto& [workspace, revision] : revisions) {
    out[workspace] = revision;
  }
  return out;
}

std::map<std::string, std::uint64_t> revisions_of(const workspace_table& table) {
  std::map<std::string, std::uint64_t> revisions;
  for (const auto& [name, parameters] : table) {
    revisions[name] = parameters.revision;
  }
  return revisions;
}

json::object router_to_json(const rpc::router_status* status) {
  json::object out;
  out["reached"] = status != nullptr;
  if (status != nullptr) {
    out["incarnation"] = status->incarnation;
    out["applied_version"] = status->applied_version;
    out["draining"] = status->draining;
    out["in_flight"] = status->in_flight;
    out["revisions"] = revisions_to_json(status->revisions);
  }
  return out;
}

json::array peers_to_json(const member::peer_table& peers) {
  json::array out;
  for (const auto& vm : peers.others()) {
    json::object peer = to_json(vm);
    peer["standing"] = member::to_string(peers.status_of(vm.id));
    peer["heartbeat"] = peers.heartbeat_of(vm.id);
    out.emplace_back(std::move(peer));
  }
  return out;
}

json::array servers_to_json(const member::membership& members) {
  json::array out;
  for (const auto& server : members.snapshot().backend_servers) {
    json::object one = to_json(server);
    one["polled_here"] = members.polls(server.id);
    out.emplace_back(std::move(one));
  }
  return out;
}

json::array reports_to_json(const fleet_snapshot& fleet, time_point now) {
  json::array out;
  for (const auto& report : fleet.reports) {
    json::object one;
    one["backend_server"] = report.backend_server;
    one["running"] = report.running;
    one["waiting"] = report.waiting;
    one["age_ms"] = (now - report.measured).ms;
    out.emplace_back(std::move(one));
  }
  return out;
}

}  // namespace

front::front(agent_board& board, platform_feed& feed, engine_link& engines,
             std::function<void()> drain)
    : board_(board), feed_(feed), engines_(engines), drain_(std::move(drain)) {
  rpc::method_map methods;
  methods[std::string(rpc::exchange_method)] = [this](std::string_view body) {
    return exchange(body);
  };
  methods["status"] = [this](std::string_view /*body*/) {
    return result<std::string, rpc::codec_fault>(status());
  };
  methods_ = rpc::method_server::create(std::move(methods));
}

boost::asio::awaitable<void> front::handle(net::http_request request,
                                           net::response_writer& writer) {
  net::http_response response = answer(request);
  std::ignore = co_await writer.send(std::move(response));
}

net::http_response front::answer(const net::http_request& request) {
  const std::string route = request.method + " " + request.target;
  if (route == "POST /rpc") {
    return {status_ok, {{"Content-Type", "application/json"}}, methods_->handle(request.body)};
  }
  if (route == "GET /healthz") {
    return json_answer(status_ok, {{"healthy", true}});
  }
  if (route == "GET /readyz") {
    return readiness();
  }
  if (route == "GET /dump") {
    return {status_ok, {{"Content-Type", "application/json"}}, dump()};
  }
  if (route == "GET /metrics") {
    return {status_ok, {{"Content-Type", "text/plain; version=0.0.4"}}, metrics()};
  }
  if (route == "POST /drain") {
    drain_();
    return json_answer(status_accepted, {{"draining", true}});
  }
  return json_answer(status_not_found, {{"error", "not_found"}});
}

net::http_response front::readiness() {
  const bool complete = board_.members.with(
      [](member::membership& members) { return members.configuration_complete(); });
  const bool router = board_.router.read() != nullptr;
  json::object body;
  body["configuration_complete"] = complete;
  body["router_reached"] = router;
  body["leaving"] = board_.stopping.load();
  const bool ready = complete && router && !board_.stopping;
  return json_answer(ready ? status_ok : status_unavailable, body);
}

result<std::string, rpc::codec_fault> front::exchange(std::string_view body) {
  const auto message = rpc::decode_gossip(body, board_.time.now());
  if (!message) {
    board_.counters->count("hawthornnotch_exchanges_refused_total", {});
    return failed{message.last_reason()};
  }
  const auto answer =
      board_.members.with([&](member::membership& members) { return members.receive(*message); });
  std::string text = rpc::encode(answer, board_.time.now());
  board_.counters->count("hawthornnotch_exchange_bytes_total", {{"direction", "received"}},
                         body.size());
  board_.counters->count("hawthornnotch_exchange_bytes_total", {{"direction", "sent"}},
                         text.size());
  return text;
}

std::string front::status() {
  json::object out;
  out["vm"] = board_.settings.vm;
  out["failure_domain"] = board_.settings.failure_domain;
  out["incarnation"] = board_.incarnation;
  board_.members.with([&](member::membership& members) {
    out["leaving"] = members.peers().self().vm.leaving;
    out["configuration_complete"] = members.configuration_complete();
    out["revisions"] = revisions_to_json(revisions_of(members.workspaces()));
  });
  out["router"] = router_to_json(board_.router.read().get());
  return json::serialize(out);
}

std::string front::dump() {
  json::object out;
  out["vm"] = board_.settings.vm;
  out["failure_domain"] = board_.settings.failure_domain;
  out["incarnation"] = board_.incarnation;
  out["stopping"] = board_.stopping.load();
  board_.members.with([&](member::membership& members) {
    const auto fleet = members.snapshot();
    out["self"] = to_json(members.peers().self().vm);
    out["version"] = members.version();
    out["fact_version"] = members.fact_version();
    out["watches_platform"] = members.watches_platform();
    out["lease_candidate"] = members.lease_candidate();
    out["configuration_complete"] = members.configuration_complete();
    out["peers"] = peers_to_json(members.peers());
    out["sharers"] = fleet.entry_vms.size();
    out["backend_servers"] = servers_to_json(members);
    out["backend_servers_refused"] = members.backends().refused();
    out["reports"] = reports_to_json(fleet, board_.time.now());
    out["revisions"] = revisions_to_json(revisions_of(members.workspaces()));
  });
  out["router"] = router_to_json(board_.router.read().get());
  out["platform"] = feed_.dump();
  out["lease"] = engines_.dump();
  return json::serialize(out);
}

std::string front::metrics() {
  auto& gauges = *board_.counters;
  board_.members.with([&](member::membership& members) {
    const auto fleet = members.snapshot();
    gauges.gauge("hawthornnotch_sharers", {}, static_cast<double>(fleet.entry_vms.size()));
    gauges.gauge("hawthornnotch_backend_servers", {},
                 static_cast<double>(fleet.backend_servers.size()));
    gauges.gauge("hawthornnotch_fresh_reports", {}, static_cast<double>(fleet.reports.size()));
    gauges.gauge("hawthornnotch_configuration_complete", {},
                 members.configuration_complete() ? 1 : 0);
  });
  return gauges.exposition();
}

}  // namespace hawthornnotch::agent
