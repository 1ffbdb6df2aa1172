// The backend servers of the gateway's tests, and their behaviours.
#include "gateway_fixture.h"

#include <boost/json.hpp>
#include <tuple>

#include "hawthornnotch/config/json_reader.h"

namespace hawthornnotch::test {

namespace asio = boost::asio;
namespace json = boost::json;
namespace {

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

// States that the server has not executed the request.
http_response rejection(const http_request& request) {
  http_response response;
  response.status = 503;
  response.headers.emplace_back("X-Attempt-Id", request.header("X-Attempt-Id").value_or(""));
  response.headers.emplace_back("X-Not-Executed", "1");
  return response;
}

}  // namespace

std::string entry_text(const std::string& service, const endpoint& address, bool leaving,
                       std::int64_t start_time, const std::string& version) {
  json::object entry{{"Service", service},
                     {"Address", to_text(address)},
                     {"Zone", "zg-istok"},
                     {"Slots", 8},
                     {"State", leaving ? "draining" : "ready"},
                     {"born", start_time}};
  if (!version.empty()) {
    entry["Version"] = version;
  }
  return json::serialize(entry);
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

}  // namespace hawthornnotch::test
