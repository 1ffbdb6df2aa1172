#include "operator_port.h"

#include <tuple>

#include "hawthornnotch/observe/log.h"
#include "hawthornnotch/router/rejection.h"

namespace hawthornnotch::router::internal {

namespace asio = boost::asio;

namespace {

constexpr std::string_view explain_path = "/explain/";

net::http_response json_answer(std::string body, unsigned code = 200) {
  net::http_response response;
  response.status = code;
  response.headers.emplace_back("Content-Type", "application/json");
  response.body = std::move(body);
  return response;
}

bool starts_with(std::string_view text, std::string_view prefix) {
  return text.substr(0, prefix.size()) == prefix;
}

}  // namespace

operator_port::operator_port(services& shared, const lifecycle& phases, process around)
    : shared_(shared), phases_(phases), around_(std::move(around)) {
  rpc_ = rpc::router_rpc_server::create(
      [this](rpc::router_snapshot snapshot) { return apply(std::move(snapshot)); },
      [this] { return status(); });
}

asio::awaitable<void> operator_port::handle(net::http_request request,
                                            net::response_writer& writer) {
  std::ignore = co_await writer.send(answer(request));
}

net::http_response operator_port::answer(const net::http_request& request) {
  const bool is_post = request.method == "POST";
  if (is_post && request.target == "/rpc") {
    return json_answer(rpc_->handle(request.body));
  }
  if (is_post && request.target == "/drain") {
    around_.begin_stop();
    return json_answer(R"({"draining":true})");
  }
  if (request.method != "GET") {
    return to_response({reject_code::method_not_allowed, outcome::not_run, std::nullopt, "GET"},
                       "");
  }
  if (request.target == "/healthz") {
    return json_answer(R"({"healthy":true})");
  }
  if (request.target == "/readyz") {
    return readiness();
  }
  if (request.target == "/metrics") {
    return metrics_text();
  }
  if (request.target == "/dump") {
    return json_answer(dump_json(shared_, phases_, around_.incarnation, around_.counts()));
  }
  if (starts_with(request.target, explain_path)) {
    const auto explained = explain_json(shared_, request.target.substr(explain_path.size()));
    return explained ? json_answer(*explained)
                     : to_response({reject_code::unknown_request, outcome::unknown, {}, ""}, "");
  }
  return to_response({reject_code::unknown_path, outcome::not_run, std::nullopt, ""}, "");
}

net::http_response operator_port::readiness() const {
  if (phases_.is_stopping()) {
    return json_answer(R"({"ready":false,"why":"stopping"})", 503);
  }
  if (!shared_.control.view()->complete) {
    return json_answer(R"({"ready":false,"why":"no configuration yet"})", 503);
  }
  return json_answer(R"({"ready":true})");
}

net::http_response operator_port::metrics_text() const {
  const policy::scheduler_view view = shared_.scheduler.view();
  for (std::size_t index = 0; index < view.waiting.size(); ++index) {
    const std::string name = std::to_string(index);
    shared_.metrics.gauge("hawthornnotch_waiting", {{"tier", name}}, view.waiting.at(index));
  }
  for (const policy::server_view& server : view.servers) {
    shared_.metrics.gauge("hawthornnotch_in_flight", {{"backend_server", server.id}},
                          server.in_flight);
    shared_.metrics.gauge("hawthornnotch_window", {{"backend_server", server.id}}, server.window);
  }
  net::http_response response;
  response.headers.emplace_back("Content-Type", "text/plain; version=0.0.4");
  response.body = shared_.metrics.exposition();
  return response;
}

rpc::router_status operator_port::status() const {
  rpc::router_status now;
  const auto control = shared_.control.view();
  now.incarnation = around_.incarnation;
  now.agent_incarnation = control->agent_incarnation;
  now.applied_version = control->version;
  now.draining = phases_.is_stopping();
  now.in_flight = static_cast<std::uint32_t>(around_.counts().requests);
  const policy::scheduler_view view = shared_.scheduler.view();
  std::copy(view.waiting.begin(), view.waiting.end(), std::begin(now.waiting_by_tier));
  for (const auto& [name, parameters] : control->workspaces) {
    now.revisions[name] = parameters.revision;
  }
  return now;
}

rpc::router_status operator_port::apply(rpc::router_snapshot snapshot) {
  const bool applied =
      shared_.control.apply(snapshot.agent_incarnation, snapshot.version, std::move(snapshot.fleet),
                            snapshot.workspaces, snapshot.complete);
  if (applied) {
    shared_.scheduler.apply(shared_.control.view()->fleet, shared_.settings.vm);
    shared_.desk.pump();
    observe::log_event(observe::level::debug, "snapshot_applied",
                       {{"agent", snapshot.agent_incarnation}, {"version", snapshot.version}});
  }
  return status();
}

}  // namespace hawthornnotch::router::internal
