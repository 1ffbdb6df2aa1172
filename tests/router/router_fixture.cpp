#include "router_fixture.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "hawthornnotch/base/random.h"
#include "hawthornnotch/router/event_stream.h"
#include "hawthornnotch/rpc/router_rpc.h"
#include "test_case.h"

namespace hawthornnotch::test {

namespace json = boost::json;

namespace {

router::router_settings settings_for(const endpoint& platform, const net::server_limits& limits) {
  router::router_settings settings;
  settings.vm = "vm-1";
  settings.failure_domain = "zg-istok";
  settings.listen = {"127.0.0.1", 0};
  settings.operator_listen = {"127.0.0.1", 0};
  settings.platform = {platform};
  settings.authenticate = false;
  settings.caller_limits = limits;
  settings.stop.balancer_notice = {0};
  settings.stop.settle_timeout = {100};
  return settings;
}

backend_server engine_server(std::size_t number, const endpoint& at) {
  backend_server server;
  server.id = "engine-" + std::to_string(number);
  server.incarnation = "1";
  server.failure_domain = "zg-istok";
  server.address = at;
  server.serves = {"m"};
  return server;
}

workspace_parameters dispatch_workspace() {
  workspace_parameters workspace;
  workspace.workspace = "dispatch";
  workspace.revision = 1;
  workspace.default_class = "chat";
  workspace.classes.resize(2);
  workspace.classes[0].name = "chat";
  workspace.classes[1].name = "order";
  workspace.classes[1].idempotent = false;
  workspace.retry_percent = 100;
  return workspace;
}

entry_vm own_vm() {
  entry_vm vm;
  vm.id = "vm-1";
  vm.incarnation = "1";
  vm.failure_domain = "zg-istok";
  vm.agent = {"127.0.0.1", 1};
  vm.router = {"127.0.0.1", 2};
  return vm;
}

}  // namespace

threaded_server::threaded_server(net::request_handler handler) {
  auto made =
      net::http_server::listen(context_.get_executor(), {"127.0.0.1", 0}, {}, std::move(handler));
  CPPUNIT_ASSERT(made.has_value());
  server_ = std::move(*made);
  thread_ = std::thread([this] { context_.run(); });
}

threaded_server::~threaded_server() {
  context_.stop();
  thread_.join();
}

standin_engine::standin_engine() {
  standin::engine_options options;
  options.models = {"m"};
  options.token = std::chrono::milliseconds(1);
  engine_ = standin::engine::create(options, faults_);
  auto handler = [this](net::http_request request, net::response_writer& writer) {
    return engine_->handle(std::move(request), writer);
  };
  server_ = std::make_unique<threaded_server>(standin::with_faults(faults_, std::move(handler)));
}

router_fixture::router_fixture(fixture_options options) {
  for (std::size_t number = 0; number < options.engines; ++number) {
    engines_.push_back(std::make_unique<standin_engine>());
  }
  auto made = router::router::create(settings_for(platform_->address(), options.limits));
  CPPUNIT_ASSERT(made.has_value());
  router_ = std::move(*made);
  thread_ = std::thread([this] { stopped_cleanly_ = router_->run(); });
}

router_fixture::~router_fixture() {
  router_->begin_stop();
  join();
}

bool router_fixture::join() {
  if (thread_.joinable()) {
    thread_.join();
  }
  return stopped_cleanly_;
}

void router_fixture::configure(std::vector<backend_server> extra_servers, std::uint64_t version) {
  rpc::router_snapshot snapshot;
  snapshot.agent_incarnation = "agent";
  snapshot.version = version;
  snapshot.fleet.version = version;
  snapshot.fleet.backend_servers = std::move(extra_servers);
  for (std::size_t number = 0; number < engines_.size(); ++number) {
    snapshot.fleet.backend_servers.push_back(engine_server(number, engines_[number]->address()));
  }
  snapshot.fleet.entry_vms = {own_vm()};
  snapshot.workspaces["dispatch"] = dispatch_workspace();
  snapshot.complete = true;
  json::object params;
  params["body"] = rpc::encode(snapshot, system_clock().now());
  json::object call;
  call["jsonrpc"] = "2.0";
  call["id"] = 1;
  call["method"] = rpc::apply_method;
  call["params"] = std::move(params);
  const auto answer = call_operator("POST", "/rpc", json::serialize(call));
  CPPUNIT_ASSERT_EQUAL(200U, answer.status);
  CPPUNIT_ASSERT_MESSAGE(answer.body, answer.body.find("error") == std::string::npos);
}

net::http_response router_fixture::send(const endpoint& to, net::http_request request) {
  const net::exchange_limits limits;
  auto answer = boost::asio::co_spawn(client_context_, http_->fetch(to, std::move(request), limits),
                                      boost::asio::use_future);
  client_context_.restart();
  client_context_.run();
  auto received = answer.get();
  net::http_response none;
  none.status = 0;
  return received ? *received : none;
}

net::http_response router_fixture::call(std::string_view method, std::string_view target,
                                        std::string_view body, net::header_list headers) {
  net::http_request request{std::string(method), std::string(target), std::move(headers),
                            std::string(body)};
  return send({"127.0.0.1", router_->caller_port()}, std::move(request));
}

net::http_response router_fixture::chat(std::string_view class_name, std::string_view body,
                                        net::header_list headers) {
  headers.emplace_back("x-hawthornnotch-workspace", "dispatch");
  headers.emplace_back("x-hawthornnotch-class", std::string(class_name));
  return call("POST", "/v1/chat/completions", body, std::move(headers));
}

net::http_response router_fixture::call_operator(std::string_view method, std::string_view target,
                                                 std::string_view body) {
  net::http_request request{std::string(method), std::string(target), {}, std::string(body)};
  return send({"127.0.0.1", router_->operator_port()}, std::move(request));
}

std::string text_of(const net::http_response& answer) {
  if (answer.body.substr(0, 5) != "data:") {
    const json::value body = json::parse(answer.body);
    return std::string(body.at_pointer("/choices/0/message/content").as_string());
  }
  router::event_splitter splitter(answer.body.size() + 1);
  splitter.add(answer.body);
  std::string text;
  while (const auto data = splitter.next()) {
    const auto event = router::read_event(*data, router::model_endpoint::chat);
    CPPUNIT_ASSERT_MESSAGE(*data, event.has_value());
    if (const auto* piece = std::get_if<router::text_event>(&*event)) {
      text += piece->text;
    }
  }
  return text;
}

std::string error_of(const net::http_response& answer, std::string_view key) {
  json::error_code error;
  const json::value body = json::parse(answer.body, error);
  if (error || !body.is_object() || !body.as_object().contains("error")) {
    return "no error in: " + answer.body;
  }
  const json::value* value = body.at("error").as_object().if_contains(key);
  return value == nullptr ? "" : std::string(value->as_string());
}

}  // namespace hawthornnotch::test
