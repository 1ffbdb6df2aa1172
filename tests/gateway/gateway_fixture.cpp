#include "gateway_fixture.h"

#include <boost/json.hpp>
#include <chrono>
#include <limits>
#include <tuple>

#include "hawthornnotch/platform/base64.h"
#include "platform/store_client.h"
#include "test_case.h"

namespace hawthornnotch::test {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr auto await_timeout = std::chrono::seconds(20);
constexpr auto poll_period = std::chrono::milliseconds(5);

std::string query_value(const std::string& target, const std::string& name) {
  const std::size_t at = target.find(name + "=");
  if (at == std::string::npos) {
    return "";
  }
  const std::size_t from = at + name.size() + 1;
  return target.substr(from, target.find('&', from) - from);
}

bool begins_with(const std::string& text, const std::string& prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

http_response sealed_response(const http_request& request) {
  http_response response;
  response.headers.emplace_back("X-Attempt-Id", request.header("X-Attempt-Id").value_or(""));
  response.headers.emplace_back("X-Response-Seal", "seal");
  return response;
}

std::string event_text(std::uint64_t id) {
  return "id: " + std::to_string(id) + "\ndata: token\n\n";
}

std::uint64_t first_event(const http_request& request) {
  const auto last = request.header("Last-Event-Id");
  return last ? std::stoull(std::string(*last)) + 1 : 1;
}

asio::awaitable<void> write_events(const http_request& request, net::response_writer& writer,
                                   std::uint64_t last) {
  std::ignore = co_await writer.start(200, sealed_response(request).headers);
  for (std::uint64_t id = first_event(request); id <= last; ++id) {
    const std::string text = event_text(id);
    std::ignore = co_await writer.write(text);
  }
}

std::string entry_text(const std::string& service, const endpoint& address, bool leaving,
                       std::int64_t start_time) {
  return json::serialize(
      json::object{{"Service", service},
                   {"Address", address.address + ":" + std::to_string(address.port)},
                   {"Zone", "zg-istok"},
                   {"Slots", 8},
                   {"State", leaving ? "draining" : "ready"},
                   {"born", start_time}});
}

// States that the server has not executed the request.
http_response rejection(const http_request& request) {
  http_response response;
  response.status = 503;
  response.headers.emplace_back("X-Attempt-Id", request.header("X-Attempt-Id").value_or(""));
  response.headers.emplace_back("X-Not-Executed", "1");
  return response;
}

}  // namespace

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

fake_store::fake_store(loopback_runtime& runtime) {
  server_ = runtime.serve([this](http_request request, net::response_writer& writer) {
    return handle(std::move(request), writer);
  });
}

std::int64_t fake_store::put(const std::string& key, const std::string& value) {
  const std::lock_guard lock(mutex_);
  data_.items[key] = {value, ++data_.revision, 0};
  return data_.revision;
}

void fake_store::erase(const std::string& key) {
  const std::lock_guard lock(mutex_);
  ++data_.revision;
  data_.items.erase(key);
}

void fake_store::set_unavailable(bool unavailable) {
  const std::lock_guard lock(mutex_);
  unavailable_ = unavailable;
}

fake_store::snapshot fake_store::take_snapshot() {
  const std::lock_guard lock(mutex_);
  return data_;
}

void fake_store::restore(const snapshot& older) {
  const std::lock_guard lock(mutex_);
  data_ = older;
  ++era_;
}

void fake_store::hang_on_lost_history(bool waits) {
  const std::lock_guard lock(mutex_);
  hangs_on_lost_history_ = waits;
}

void fake_store::omit_era() {
  const std::lock_guard lock(mutex_);
  sends_era_ = false;
}

std::optional<fake_store::stored_value> fake_store::find(const std::string& key) {
  const std::lock_guard lock(mutex_);
  const auto found = data_.items.find(key);
  return found == data_.items.end() ? std::nullopt : std::optional(found->second);
}

std::int64_t fake_store::grant_lease() {
  const std::lock_guard lock(mutex_);
  data_.leases.insert(++data_.last_lease);
  return data_.last_lease;
}

void fake_store::add_era_header(http_response& response) {
  if (sends_era_) {
    response.headers.emplace_back("Store-Era", std::to_string(era_));
  }
}

asio::awaitable<void> fake_store::handle(http_request request, net::response_writer& writer) {
  http_response response;
  if (begins_with(request.target, "/api/kv-watch")) {
    response = co_await watch(query_value(request.target, "Prefix"),
                              std::stoll(query_value(request.target, "After")));
  } else {
    response = answer(request);
  }
  std::ignore = co_await writer.send(std::move(response));
}

asio::awaitable<http_response> fake_store::watch(std::string prefix, std::int64_t after) {
  constexpr int max_polls = 200;
  asio::steady_timer timer(co_await asio::this_coro::executor);
  http_response response;
  for (int poll = 0; poll < max_polls; ++poll) {
    response = changes_after(prefix, after);
    if (!response.body.empty() || response.status != 200) {
      co_return response;
    }
    timer.expires_after(poll_period);
    co_await timer.async_wait(asio::use_awaitable);
  }
  response.body = R"({"events":[],"CurrentRev":)" + std::to_string(after) + "}";
  co_return response;
}

// Leaves the body empty if there is no change.  The history of erased keys is not kept.
http_response fake_store::changes_after(const std::string& prefix, std::int64_t after) {
  const std::lock_guard lock(mutex_);
  http_response response;
  add_era_header(response);
  if (unavailable_) {
    response.status = 503;
    return response;
  }
  if (after > data_.revision && !hangs_on_lost_history_) {
    response.status = 410;
    return response;
  }
  json::array events;
  for (const auto& [key, stored] : data_.items) {
    if (begins_with(key, prefix) && stored.revision > after) {
      events.push_back(json::object{{"Key", key},
                                    {"Value", platform::encode_base64(stored.value)},
                                    {"Revision", stored.revision}});
    }
  }
  if (!events.empty()) {
    response.body = json::serialize(
        json::object{{"events", std::move(events)}, {"CurrentRev", data_.revision}});
  }
  return response;
}

http_response fake_store::answer(const http_request& request) {
  const std::lock_guard lock(mutex_);
  http_response response;
  if (unavailable_) {
    response.status = 503;
  } else if (request.method == "POST") {
    response = write(request);
  } else {
    response = read(request);
  }
  add_era_header(response);
  return response;
}

http_response fake_store::write(const http_request& request) {
  if (begins_with(request.target, "/api/kv-txn")) {
    return transact(request);
  }
  http_response response;
  json::object body{{"TtlMs", 12'000}};
  if (begins_with(request.target, "/api/kv-keep/")) {
    const std::int64_t lease = std::stoll(request.target.substr(request.target.rfind('/') + 1));
    response.status = data_.leases.count(lease) > 0 ? 200 : 404;
    body["Lease"] = lease;
  } else {
    data_.leases.insert(++data_.last_lease);
    body["Lease"] = data_.last_lease;
  }
  response.body = json::serialize(body);
  return response;
}

// Ignores conditions, since no caller in these tests sets any.
http_response fake_store::transact(const http_request& request) {
  http_response response;
  ++data_.revision;
  const json::value body = json::parse(request.body);
  for (const json::value& each : body.at("SetKeys").as_array()) {
    const std::int64_t lease = each.at("Lease").as_int64();
    if (lease != 0 && data_.leases.count(lease) == 0) {
      response.status = 404;
      return response;
    }
    const std::string value(each.at("Value").as_string());
    data_.items[std::string(each.at("Key").as_string())] = {
        platform::decode_base64(value).value_or(""), data_.revision, lease};
  }
  response.body = json::serialize(json::object{{"Revision", data_.revision}});
  return response;
}

http_response fake_store::read(const http_request& request) {
  http_response response;
  json::object body{{"CurrentRev", data_.revision}};
  if (begins_with(request.target, "/api/kv-key")) {
    const std::string key = query_value(request.target, "Key");
    const auto found = data_.items.find(key);
    if (found == data_.items.end()) {
      response.status = 404;
    } else {
      body["Key"] = key;
      body["Value"] = platform::encode_base64(found->second.value);
      body["Revision"] = found->second.revision;
    }
  } else {
    const std::string prefix = query_value(request.target, "Prefix");
    json::array items;
    for (const auto& [key, stored] : data_.items) {
      if (begins_with(key, prefix)) {
        items.push_back(json::object{{"Key", key},
                                     {"Value", platform::encode_base64(stored.value)},
                                     {"Revision", stored.revision}});
      }
    }
    body["Items"] = std::move(items);
    body["HasMore"] = false;
  }
  response.body = json::serialize(body);
  return response;
}

fake_server::fake_server(loopback_runtime& runtime, std::string id, behaviour answers)
    : id_(std::move(id)), answers_(std::move(answers)) {
  server_ = runtime.serve(
      [this](http_request request, net::response_writer& writer) -> asio::awaitable<void> {
        {
          const std::lock_guard lock(mutex_);
          received_.push_back(request);
        }
        writer.on_peer_disconnect([this] {
          const std::lock_guard lock(mutex_);
          ++disconnects_;
        });
        co_await answers_(request, writer);
      });
}

std::vector<http_request> fake_server::received() {
  const std::lock_guard lock(mutex_);
  return received_;
}

std::size_t fake_server::disconnects() {
  const std::lock_guard lock(mutex_);
  return disconnects_;
}

std::string fake_server::entry(const std::string& service, bool leaving,
                               std::int64_t start_time) const {
  return entry_text(service, address(), leaving, start_time);
}

asio::awaitable<void> answer_ok(const http_request& request, net::response_writer& writer) {
  http_response response = sealed_response(request);
  response.body = request.target + "|" + request.body;
  std::ignore = co_await writer.send(std::move(response));
}

asio::awaitable<void> answer_slowly(const http_request& request, net::response_writer& writer) {
  asio::steady_timer timer(co_await asio::this_coro::executor, std::chrono::milliseconds(40));
  co_await timer.async_wait(asio::use_awaitable);
  co_await answer_ok(request, writer);
}

asio::awaitable<void> answer_error(const http_request& request, net::response_writer& writer) {
  http_response response = sealed_response(request);
  response.status = 500;
  std::ignore = co_await writer.send(std::move(response));
}

asio::awaitable<void> refuse_unexecuted(const http_request& request, net::response_writer& writer) {
  std::ignore = co_await writer.send(rejection(request));
}

fake_server::behaviour refuse_for(std::string seconds) {
  return [seconds = std::move(seconds)](const http_request& request,
                                        net::response_writer& writer) -> asio::awaitable<void> {
    http_response response = rejection(request);
    response.headers.emplace_back("Retry-After", seconds);
    std::ignore = co_await writer.send(std::move(response));
  };
}

asio::awaitable<void> answer_and_leave(const http_request& request, net::response_writer& writer) {
  http_response response = sealed_response(request);
  response.headers.emplace_back("Server-Leaving", "1");
  std::ignore = co_await writer.send(std::move(response));
}

asio::awaitable<void> refuse_and_leave(const http_request& request, net::response_writer& writer) {
  http_response response = rejection(request);
  response.headers.emplace_back("Server-Leaving", "1");
  std::ignore = co_await writer.send(std::move(response));
}

asio::awaitable<void> abort_connection(const http_request& /*request*/,
                                       net::response_writer& writer) {
  writer.abort();
  co_return;
}

asio::awaitable<void> never_answer(const http_request& /*request*/,
                                   net::response_writer& /*writer*/) {
  asio::steady_timer timer(co_await asio::this_coro::executor, await_timeout);
  co_await timer.async_wait(asio::use_awaitable);
}

asio::awaitable<void> stream_four(const http_request& request, net::response_writer& writer) {
  constexpr std::uint64_t last = 4;
  co_await write_events(request, writer, last);
  std::ignore = co_await writer.finish();
}

asio::awaitable<void> stream_two(const http_request& request, net::response_writer& writer) {
  constexpr std::uint64_t last = 2;
  co_await write_events(request, writer, last);
}

asio::awaitable<void> stream_two_and_abort(const http_request& request,
                                           net::response_writer& writer) {
  co_await stream_two(request, writer);
  writer.abort();
}

asio::awaitable<void> stream_two_and_stall(const http_request& request,
                                           net::response_writer& writer) {
  constexpr std::uint64_t last = 2;
  co_await write_events(request, writer, last);
  co_await never_answer(request, writer);
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
  store_.put("servers/" + id, entry_text(service, address, false, 1));
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

void gateway_fixture::restart(std::vector<endpoint> seeds) {
  gateway_->begin_stop();
  thread_.join();
  gateway_.reset();
  start_vm(vm_, std::move(seeds));
}

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
  settings.store = store_.address();
  settings.retries = retries_;
  settings.startup_hold = startup_hold_;
  settings.stop_grace = stop_grace_;
  auto made = gateway::gateway::create(settings, wire_, adapter::make_store_client);
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
