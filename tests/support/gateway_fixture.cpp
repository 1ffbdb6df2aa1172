#include "gateway_fixture.h"

#include <boost/json.hpp>
#include <chrono>
#include <tuple>
#include <utility>

#include "platform/store_client.h"
#include "test_case.h"

namespace hawthornnotch::test {

namespace asio = boost::asio;
namespace json = boost::json;

loopback_runtime::loopback_runtime() : work_(asio::make_work_guard(context_)) {
  for (auto& thread : threads_) {
    thread = std::thread([this] { context_.run(); });
  }
}

loopback_runtime::~loopback_runtime() { stop(); }

void loopback_runtime::stop() {
  work_.reset();
  context_.stop();
  for (auto& thread : threads_) {
    if (thread.joinable()) {
      thread.join();
    }
  }
}

std::unique_ptr<net::http_server> loopback_runtime::serve(net::request_handler handler) {
  auto server = net::http_server::listen(executor(), {"127.0.0.1", 0}, {}, std::move(handler));
  CPPUNIT_ASSERT(server.has_value());
  return std::move(*server);
}

gateway_fixture::gateway_fixture() : store_(runtime_), client_(net::http_client::create(4)) {
  store_.put("op/config", default_config(1));
}

gateway_fixture::~gateway_fixture() {
  if (thread_.joinable()) {
    gateway_->begin_stop();
    thread_.join();
  }
  runtime_.stop();
}

fake_server& gateway_fixture::add_server(const std::string& id, const std::string& service,
                                         fake_server::behaviour answers) {
  servers_.push_back(std::make_unique<fake_server>(runtime_, id, std::move(answers)));
  list(*servers_.back(), service);
  return *servers_.back();
}

void gateway_fixture::list(fake_server& server, const std::string& service, bool leaving) {
  store_.put("servers/" + server.id(), server.entry(service, leaving));
}

void gateway_fixture::list(const std::string& id, const std::string& service,
                           const endpoint& address) {
  store_.put("servers/" + id, entry_text(service, address));
}

void gateway_fixture::start(std::vector<endpoint> seeds) {
  std::string vm = seeds.empty() ? "entry-1" : "entry-2";
  start_vm(std::move(vm), std::move(seeds));
}

void gateway_fixture::start_vm(std::string vm, std::vector<endpoint> seeds) {
  launch(std::move(vm), std::move(seeds));
  await([this] { return readiness() == 200; });
  // A process younger than the window has no part of the slack.
  std::this_thread::sleep_for(std::chrono::milliseconds(retries_.window.ms));
}

void gateway_fixture::start_without_store() {
  startup_hold_ = duration{20'000};
  store_.set_unavailable(true);
  launch("entry-1", {});
}

void gateway_fixture::stop() {
  gateway_->begin_stop();
  thread_.join();
  gateway_.reset();
}

void gateway_fixture::restart(std::vector<endpoint> seeds) {
  stop();
  start_again(std::move(seeds));
}

void gateway_fixture::start_again(std::vector<endpoint> seeds) { start_vm(vm_, std::move(seeds)); }

void gateway_fixture::launch(std::string vm, std::vector<endpoint> seeds) {
  vm_ = std::move(vm);
  gateway::gateway_settings settings;
  settings.vm = vm_;
  settings.seeds = std::move(seeds);
  settings.failure_domain = "zg-istok";
  const endpoint any_port{"127.0.0.1", 0};
  settings.callers = any_port;
  settings.readiness = any_port;
  settings.peers = any_port;
  settings.metrics = any_port;
  settings.store = store_address_.value_or(store_.address());
  settings.retries = retries_;
  settings.startup_hold = startup_hold_;
  settings.stop_grace = stop_grace_;
  settings.duties = duties_;
  auto made = gateway::gateway::create(settings, wire_, adapter::make_store_client,
                                       std::exchange(http_, gateway::gateway::make_http_client()));
  CPPUNIT_ASSERT(made.has_value());
  gateway_ = std::move(*made);
  thread_ = std::thread([this] { gateway_->run(); });
}

void gateway_fixture::start_without_retries() {
  retries_.ratio = 0;
  retries_.slack = 0;
  start();
}

endpoint gateway_fixture::callers() const { return {"127.0.0.1", gateway_->caller_port()}; }

result<http_response, net::net_failure> gateway_fixture::call(http_request request) {
  return runtime_.await(client_->fetch(callers(), std::move(request), {}));
}

http_response gateway_fixture::expect_response(http_request request) {
  auto answer = call(std::move(request));
  CPPUNIT_ASSERT(answer.has_value());
  return *answer;
}

result<gateway_fixture::discarded_response, net::net_failure> gateway_fixture::read_and_discard(
    http_request request) {
  net::exchange_limits limits;
  limits.body_bytes = std::numeric_limits<std::uint64_t>::max();
  auto opened = runtime_.await(client_->open(callers(), std::move(request), limits));
  if (!opened) {
    return failed{opened.last_reason()};
  }
  discarded_response seen{(*opened)->head().status, 0};
  while (true) {
    const auto piece = runtime_.await((*opened)->read());
    if (!piece) {
      return failed{piece.last_reason()};
    }
    if (piece->empty()) {
      return seen;
    }
    seen.body_bytes += piece->size();
  }
}

void gateway_fixture::send_reads(int requests) {
  for (int number = 0; number < requests; ++number) {
    const std::string id = "read-" + std::to_string(++reads_sent_);
    CPPUNIT_ASSERT_EQUAL(200U, expect_response(make_request("GET", "/read/", id)).status);
  }
}

void gateway_fixture::await_no_requests(fake_server& server) {
  constexpr int in_a_row = 12;
  await([&] {
    const std::size_t before = server.received().size();
    send_reads(in_a_row);
    return server.received().size() == before;
  });
}

std::unique_ptr<net::response_stream> gateway_fixture::open_unread(http_request request) {
  auto opened = runtime_.await(client_->open(callers(), std::move(request), {}));
  CPPUNIT_ASSERT(opened.has_value());
  return std::move(*opened);
}

void gateway_fixture::call_and_disconnect(http_request request) {
  net::exchange_limits limits;
  limits.head_timeout = duration{300};
  const auto answer = runtime_.await(client_->fetch(callers(), std::move(request), limits));
  CPPUNIT_ASSERT(!answer.has_value());
}

std::string gateway_fixture::metrics_text() {
  const endpoint at{"127.0.0.1", gateway_->metrics_port()};
  auto answer = runtime_.await(client_->fetch(at, http_request{}, {}));
  CPPUNIT_ASSERT(answer.has_value());
  return answer->body;
}

std::optional<double> gateway_fixture::metric(const std::string& name) {
  const std::string text = "\n" + metrics_text();
  const std::size_t at = text.find("\n" + name + " ");
  return at == std::string::npos ? std::nullopt
                                 : std::optional(std::stod(text.substr(at + name.size() + 2)));
}

unsigned gateway_fixture::readiness() {
  http_request request;
  request.target = "/api/readyz";
  const endpoint at{"127.0.0.1", gateway_->readiness_port()};
  auto answer = runtime_.await(client_->fetch(at, std::move(request), {}));
  return answer ? answer->status : 0;
}

void gateway_fixture::await(const std::function<bool()>& holds) {
  const auto end = std::chrono::steady_clock::now() + await_timeout;
  while (!holds()) {
    CPPUNIT_ASSERT(std::chrono::steady_clock::now() < end);
    std::this_thread::sleep_for(poll_period);
  }
}

http_request make_request(std::string method, std::string path, std::string id) {
  http_request request;
  request.method = std::move(method);
  request.target = std::move(path);
  request.headers = {{"Host", "ice.example"},
                     {"X-Attempt-Id", std::move(id)},
                     {"X-Deadline-Ms", "15000"},
                     {"Authorization", "Bearer key-z"}};
  return request;
}

std::string default_config(int version, const std::string& key) {
  // Long enough for a busy machine; only /late/ is meant to time out.
  static constexpr int default_timeout_ms = 20'000;
  static constexpr int short_timeout_ms = 300;
  const auto route = [](const char* prefix, const char* type, const char* service, int attempts) {
    return json::object{{"Name", prefix},
                        {"Host", "ice.example"},
                        {"Prefix", prefix},
                        {"Type", type},
                        {"TimeoutMs", default_timeout_ms},
                        {"TargetLatencyMs", 10'000},
                        {"Priority", 2},
                        {"Service", service},
                        {"MaxAttempts", attempts}};
  };
  json::object draft = route("/draft/", "stream", "forecast", 2);
  draft["Resumable"] = true;
  json::object open = route("/open/", "safe", "stations", 2);
  open["Anonymous"] = true;
  json::object late = route("/late/", "unsafe", "stations", 1);
  late["TimeoutMs"] = short_timeout_ms;
  const json::object service_one{{"Name", "stations"}};
  const json::object service_two{{"Name", "forecast"}, {"Engine", json::object{{"Slots", 8}}}};
  json::object config{
      {"Version", version},
      {"Routes", json::array{route("/read/", "safe", "stations", 2),
                             route("/order/", "unsafe", "stations", 1), draft, open, late}},
      {"Services", json::array{service_one, service_two}},
      {"Tenants",
       json::array{json::object{
           {"Name", "zagreb"}, {"ApiKeys", json::array{json::string(key)}}, {"Priority", 1}}}}};
  return json::serialize(config);
}

}  // namespace hawthornnotch::test
