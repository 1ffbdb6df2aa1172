#include "world.h"

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

constexpr auto patience = std::chrono::seconds(20);
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

http_response sealed(const http_request& request) {
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
  std::ignore = co_await writer.start(200, sealed(request).headers);
  for (std::uint64_t id = first_event(request); id <= last; ++id) {
    const std::string text = event_text(id);
    std::ignore = co_await writer.write(text);
  }
}

std::string entry_text(const std::string& service, const endpoint& address, bool leaving,
                       std::int64_t born) {
  return json::serialize(
      json::object{{"Service", service},
                   {"Address", address.address + ":" + std::to_string(address.port)},
                   {"Zone", "zg-istok"},
                   {"Slots", 8},
                   {"State", leaving ? "draining" : "ready"},
                   {"born", born}});
}

// The server has not run the request.
http_response refusal(const http_request& request) {
  http_response response;
  response.status = 503;
  response.headers.emplace_back("X-Attempt-Id", request.header("X-Attempt-Id").value_or(""));
  response.headers.emplace_back("X-Not-Executed", "1");
  return response;
}

}  // namespace

loopback::loopback() : work_(asio::make_work_guard(context_)) {
  for (auto& thread : threads_) {
    thread = std::thread([this] { context_.run(); });
  }
}

loopback::~loopback() { stop(); }

void loopback::stop() {
  work_.reset();
  context_.stop();
  for (auto& thread : threads_) {
    if (thread.joinable()) {
      thread.join();
    }
  }
}

std::unique_ptr<net::http_server> loopback::serve(net::request_handler handler) {
  auto server = net::http_server::listen(executor(), {"127.0.0.1", 0}, {}, std::move(handler));
  CPPUNIT_ASSERT(server.has_value());
  return std::move(*server);
}

fake_store::fake_store(loopback& around) {
  server_ = around.serve([this](http_request request, net::response_writer& writer) {
    return handle(std::move(request), writer);
  });
}

std::int64_t fake_store::put(const std::string& key, const std::string& value) {
  const std::lock_guard lock(mutex_);
  held_.items[key] = {value, ++held_.revision, 0};
  return held_.revision;
}

void fake_store::erase(const std::string& key) {
  const std::lock_guard lock(mutex_);
  ++held_.revision;
  held_.items.erase(key);
}

void fake_store::set_away(bool away) {
  const std::lock_guard lock(mutex_);
  away_ = away;
}

fake_store::copy fake_store::take_copy() {
  const std::lock_guard lock(mutex_);
  return held_;
}

void fake_store::restore(const copy& older) {
  const std::lock_guard lock(mutex_);
  held_ = older;
  ++era_;
}

void fake_store::wait_for_lost_history(bool waits) {
  const std::lock_guard lock(mutex_);
  waits_for_lost_history_ = waits;
}

void fake_store::hide_era() {
  const std::lock_guard lock(mutex_);
  shows_era_ = false;
}

std::optional<fake_store::item> fake_store::find(const std::string& key) {
  const std::lock_guard lock(mutex_);
  const auto found = held_.items.find(key);
  return found == held_.items.end() ? std::nullopt : std::optional(found->second);
}

std::int64_t fake_store::grant_lease() {
  const std::lock_guard lock(mutex_);
  held_.leases.insert(++held_.last_lease);
  return held_.last_lease;
}

void fake_store::name_era(http_response& response) {
  if (shows_era_) {
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
  constexpr int most_polls = 200;
  asio::steady_timer timer(co_await asio::this_coro::executor);
  http_response response;
  for (int poll = 0; poll < most_polls; ++poll) {
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

// No body where there is no change; the history of erased keys is not kept.
http_response fake_store::changes_after(const std::string& prefix, std::int64_t after) {
  const std::lock_guard lock(mutex_);
  http_response response;
  name_era(response);
  if (away_) {
    response.status = 503;
    return response;
  }
  if (after > held_.revision && !waits_for_lost_history_) {
    response.status = 410;
    return response;
  }
  json::array events;
  for (const auto& [key, stored] : held_.items) {
    if (begins_with(key, prefix) && stored.revision > after) {
      events.push_back(json::object{{"Key", key},
                                    {"Value", platform::encode_base64(stored.value)},
                                    {"Revision", stored.revision}});
    }
  }
  if (!events.empty()) {
    response.body = json::serialize(
        json::object{{"events", std::move(events)}, {"CurrentRev", held_.revision}});
  }
  return response;
}

http_response fake_store::answer(const http_request& request) {
  const std::lock_guard lock(mutex_);
  http_response response;
  if (away_) {
    response.status = 503;
  } else if (request.method == "POST") {
    response = write(request);
  } else {
    response = read(request);
  }
  name_era(response);
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
    response.status = held_.leases.count(lease) > 0 ? 200 : 404;
    body["Lease"] = lease;
  } else {
    held_.leases.insert(++held_.last_lease);
    body["Lease"] = held_.last_lease;
  }
  response.body = json::serialize(body);
  return response;
}

// Conditions are not looked at: no caller in these tests sets any.
http_response fake_store::transact(const http_request& request) {
  http_response response;
  ++held_.revision;
  const json::value body = json::parse(request.body);
  for (const json::value& each : body.at("SetKeys").as_array()) {
    const std::int64_t lease = each.at("Lease").as_int64();
    if (lease != 0 && held_.leases.count(lease) == 0) {
      response.status = 404;
      return response;
    }
    const std::string value(each.at("Value").as_string());
    held_.items[std::string(each.at("Key").as_string())] = {
        platform::decode_base64(value).value_or(""), held_.revision, lease};
  }
  response.body = json::serialize(json::object{{"Revision", held_.revision}});
  return response;
}

http_response fake_store::read(const http_request& request) {
  http_response response;
  json::object body{{"CurrentRev", held_.revision}};
  if (begins_with(request.target, "/api/kv-key")) {
    const std::string key = query_value(request.target, "Key");
    const auto found = held_.items.find(key);
    if (found == held_.items.end()) {
      response.status = 404;
    } else {
      body["Key"] = key;
      body["Value"] = platform::encode_base64(found->second.value);
      body["Revision"] = found->second.revision;
    }
  } else {
    const std::string prefix = query_value(request.target, "Prefix");
    json::array items;
    for (const auto& [key, stored] : held_.items) {
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

fake_server::fake_server(loopback& around, std::string id, behaviour answers)
    : id_(std::move(id)), answers_(std::move(answers)) {
  server_ = around.serve(
      [this](http_request request, net::response_writer& writer) -> asio::awaitable<void> {
        {
          const std::lock_guard lock(mutex_);
          received_.push_back(request);
        }
        writer.on_peer_disconnect([this] {
          const std::lock_guard lock(mutex_);
          ++left_;
        });
        co_await answers_(request, writer);
      });
}

std::vector<http_request> fake_server::received() {
  const std::lock_guard lock(mutex_);
  return received_;
}

std::size_t fake_server::left() {
  const std::lock_guard lock(mutex_);
  return left_;
}

std::string fake_server::entry(const std::string& service, bool leaving, std::int64_t born) const {
  return entry_text(service, address(), leaving, born);
}

asio::awaitable<void> answer_whole(const http_request& request, net::response_writer& writer) {
  http_response response = sealed(request);
  response.body = request.target + "|" + request.body;
  std::ignore = co_await writer.send(std::move(response));
}

asio::awaitable<void> answer_slowly(const http_request& request, net::response_writer& writer) {
  asio::steady_timer timer(co_await asio::this_coro::executor, std::chrono::milliseconds(40));
  co_await timer.async_wait(asio::use_awaitable);
  co_await answer_whole(request, writer);
}

asio::awaitable<void> answer_error(const http_request& request, net::response_writer& writer) {
  http_response response = sealed(request);
  response.status = 500;
  std::ignore = co_await writer.send(std::move(response));
}

asio::awaitable<void> refuse_unrun(const http_request& request, net::response_writer& writer) {
  std::ignore = co_await writer.send(refusal(request));
}

fake_server::behaviour refuse_for(std::string seconds) {
  return [seconds = std::move(seconds)](const http_request& request,
                                        net::response_writer& writer) -> asio::awaitable<void> {
    http_response response = refusal(request);
    response.headers.emplace_back("Retry-After", seconds);
    std::ignore = co_await writer.send(std::move(response));
  };
}

asio::awaitable<void> answer_and_leave(const http_request& request, net::response_writer& writer) {
  http_response response = sealed(request);
  response.headers.emplace_back("Server-Leaving", "1");
  std::ignore = co_await writer.send(std::move(response));
}

asio::awaitable<void> refuse_and_leave(const http_request& request, net::response_writer& writer) {
  http_response response = refusal(request);
  response.headers.emplace_back("Server-Leaving", "1");
  std::ignore = co_await writer.send(std::move(response));
}

asio::awaitable<void> break_off(const http_request& /*request*/, net::response_writer& writer) {
  writer.abort();
  co_return;
}

asio::awaitable<void> never_answer(const http_request& /*request*/,
                                   net::response_writer& /*writer*/) {
  asio::steady_timer timer(co_await asio::this_coro::executor, patience);
  co_await timer.async_wait(asio::use_awaitable);
}

asio::awaitable<void> stream_four(const http_request& request, net::response_writer& writer) {
  constexpr std::uint64_t last = 4;
  co_await write_events(request, writer, last);
  std::ignore = co_await writer.finish();
}

asio::awaitable<void> stream_two_and_break(const http_request& request,
                                           net::response_writer& writer) {
  constexpr std::uint64_t last = 2;
  co_await write_events(request, writer, last);
  writer.abort();
}

asio::awaitable<void> stream_two_and_fall_silent(const http_request& request,
                                                 net::response_writer& writer) {
  constexpr std::uint64_t last = 2;
  co_await write_events(request, writer, last);
  co_await never_answer(request, writer);
}

gateway_world::gateway_world() : store_(around_), client_(net::http_client::create(4)) {
  store_.put("op/config", usual_config(1));
}

gateway_world::~gateway_world() {
  if (thread_.joinable()) {
    gateway_->begin_stop();
    thread_.join();
  }
  around_.stop();
}

fake_server& gateway_world::add_server(const std::string& id, const std::string& service,
                                       fake_server::behaviour answers) {
  servers_.push_back(std::make_unique<fake_server>(around_, id, std::move(answers)));
  list(*servers_.back(), service);
  return *servers_.back();
}

void gateway_world::list(fake_server& server, const std::string& service, bool leaving) {
  store_.put("servers/" + server.id(), server.entry(service, leaving));
}

void gateway_world::list(const std::string& id, const std::string& service,
                         const endpoint& address) {
  store_.put("servers/" + id, entry_text(service, address, false, 1));
}

void gateway_world::start(std::vector<endpoint> seeds) {
  launch(std::move(seeds));
  await([this] { return readiness() == 200; });
}

void gateway_world::start_before_the_store() {
  startup_hold_ = duration{20'000};
  store_.set_away(true);
  launch({});
}

void gateway_world::launch(std::vector<endpoint> seeds) {
  gateway::gateway_settings settings;
  settings.vm = seeds.empty() ? "entry-1" : "entry-2";
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
  settings.stop_grace = duration{5'000};
  auto made = gateway::gateway::create(settings, wire_, adapter::make_store_client);
  CPPUNIT_ASSERT(made.has_value());
  gateway_ = std::move(*made);
  thread_ = std::thread([this] { gateway_->run(); });
}

void gateway_world::start_without_retries() {
  retries_.ratio = 0;
  retries_.slack = 0;
  start();
}

endpoint gateway_world::callers() const { return {"127.0.0.1", gateway_->caller_port()}; }

result<http_response, net::net_failure> gateway_world::call(http_request request) {
  return around_.await(client_->fetch(callers(), std::move(request), {}));
}

http_response gateway_world::must_answer(http_request request) {
  auto answer = call(std::move(request));
  CPPUNIT_ASSERT(answer.has_value());
  return *answer;
}

result<gateway_world::seen_answer, net::net_failure> gateway_world::read_through(
    http_request request) {
  net::exchange_limits limits;
  limits.body_bytes = std::numeric_limits<std::uint64_t>::max();
  auto opened = around_.await(client_->open(callers(), std::move(request), limits));
  if (!opened) {
    return failed{opened.last_reason()};
  }
  seen_answer seen{(*opened)->head().status, 0};
  while (true) {
    const auto piece = around_.await((*opened)->read());
    if (!piece) {
      return failed{piece.last_reason()};
    }
    if (piece->empty()) {
      return seen;
    }
    seen.body_bytes += piece->size();
  }
}

void gateway_world::read_often(int requests) {
  for (int number = 0; number < requests; ++number) {
    const std::string id = "read-" + std::to_string(++reads_);
    CPPUNIT_ASSERT_EQUAL(200U, must_answer(make_request("GET", "/read/", id)).status);
  }
}

void gateway_world::await_no_work(fake_server& server) {
  constexpr int in_a_row = 12;
  await([&] {
    const std::size_t before = server.received().size();
    read_often(in_a_row);
    return server.received().size() == before;
  });
}

void gateway_world::call_and_leave(http_request request) {
  net::exchange_limits limits;
  limits.head_timeout = duration{300};
  const auto answer = around_.await(client_->fetch(callers(), std::move(request), limits));
  CPPUNIT_ASSERT(!answer.has_value());
}

std::string gateway_world::metrics_text() {
  const endpoint at{"127.0.0.1", gateway_->metrics_port()};
  auto answer = around_.await(client_->fetch(at, http_request{}, {}));
  CPPUNIT_ASSERT(answer.has_value());
  return answer->body;
}

std::optional<double> gateway_world::metric(const std::string& name) {
  const std::string text = "\n" + metrics_text();
  const std::size_t at = text.find("\n" + name + " ");
  return at == std::string::npos ? std::nullopt
                                 : std::optional(std::stod(text.substr(at + name.size() + 2)));
}

unsigned gateway_world::readiness() {
  http_request request;
  request.target = "/api/readyz";
  const endpoint at{"127.0.0.1", gateway_->readiness_port()};
  auto answer = around_.await(client_->fetch(at, std::move(request), {}));
  return answer ? answer->status : 0;
}

void gateway_world::await(const std::function<bool()>& holds) {
  const auto end = std::chrono::steady_clock::now() + patience;
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

std::string usual_config(int version, const std::string& key) {
  // Long enough for a busy machine; only /late/ is there to run out of time.
  static constexpr int usual_timeout_ms = 20'000;
  static constexpr int short_timeout_ms = 300;
  const auto route = [](const char* prefix, const char* type, const char* service, int attempts) {
    return json::object{{"Name", prefix},
                        {"Host", "ice.example"},
                        {"Prefix", prefix},
                        {"Type", type},
                        {"TimeoutMs", usual_timeout_ms},
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
