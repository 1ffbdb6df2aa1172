// End-to-end tests over real sockets: caller, gateway, store and backend servers.
#include <algorithm>
#include <thread>
#include <tuple>

#include "gateway_fixture.h"
#include "recording_peer.h"
#include "test_case.h"

namespace hawthornnotch::test {
namespace {

namespace asio = boost::asio;

std::string body_of_events(int first, int last) {
  std::string body;
  for (int id = first; id <= last; ++id) {
    body += "id: " + std::to_string(id) + "\ndata: token\n\n";
  }
  return body;
}

TEST_THAT(gateway, forwards_an_idempotent_request_and_the_seal_of_its_response) {
  gateway_fixture fixture;
  fixture.add_server("s1", "stations", answer_ok);
  fixture.start();
  const http_response answer =
      fixture.expect_response(make_request("GET", "/read/sljeme?x=1", "r1"));
  CPPUNIT_ASSERT_EQUAL(200U, answer.status);
  CPPUNIT_ASSERT_EQUAL(std::string("/read/sljeme?x=1|"), answer.body);
  CPPUNIT_ASSERT(answer.header("X-Response-Seal") == "seal");
}

TEST_THAT(gateway, sets_server_headers_and_drops_those_that_callers_may_not_set) {
  gateway_fixture fixture;
  fake_server& server = fixture.add_server("s1", "stations", answer_ok);
  fixture.start();
  http_request request = make_request("POST", "/order/7", "r1");
  request.body = "two crews";
  for (const char* name : {"X-Tenant", "X-Hold", "Kv-From", "X-Request-Urgency", "X-Pin-Ms"}) {
    request.headers.emplace_back(name, "forged");
  }
  request.headers.emplace_back("Connection", "X-Private");
  request.headers.emplace_back("X-Private", "1");
  request.headers.emplace_back("X-Other", "kept");
  CPPUNIT_ASSERT_EQUAL(200U, fixture.expect_response(std::move(request)).status);
  const http_request seen = server.received().at(0);
  CPPUNIT_ASSERT_EQUAL(std::string("two crews"), seen.body);
  CPPUNIT_ASSERT(seen.header("X-Attempt-Id") == "r1");
  CPPUNIT_ASSERT(seen.header("X-Tenant") == "zagreb");
  CPPUNIT_ASSERT(seen.header("X-Expect-Instance") == "s1");
  CPPUNIT_ASSERT(seen.header("X-Request-Urgency") == "0");
  CPPUNIT_ASSERT(seen.header("X-Other") == "kept");
  CPPUNIT_ASSERT(std::stoi(std::string(*seen.header("X-Deadline-Ms"))) <= 15'000);
  for (const char* name : {"Authorization", "X-Hold", "Kv-From", "X-Pin-Ms", "X-Private"}) {
    CPPUNIT_ASSERT(!seen.header(name));
  }
}

TEST_THAT(gateway, refuses_unknown_routes_and_keys) {
  gateway_fixture fixture;
  fixture.add_server("s1", "stations", answer_ok);
  fixture.start();
  CPPUNIT_ASSERT_EQUAL(404U, fixture.expect_response(make_request("GET", "/none/", "r1")).status);
  http_request stolen = make_request("GET", "/read/", "r2");
  stolen.headers.back().second = "Bearer stolen";
  CPPUNIT_ASSERT_EQUAL(401U, fixture.expect_response(std::move(stolen)).status);
  http_request open = make_request("GET", "/open/", "r3");
  open.headers.pop_back();
  CPPUNIT_ASSERT_EQUAL(200U, fixture.expect_response(std::move(open)).status);
}

TEST_THAT(gateway, sends_retry_after_if_a_request_was_not_executed) {
  gateway_fixture fixture;
  fake_server& server = fixture.add_server("s1", "stations", refuse_unexecuted);
  fixture.start();
  const http_response answer = fixture.expect_response(make_request("POST", "/order/7", "r1"));
  CPPUNIT_ASSERT_EQUAL(503U, answer.status);
  CPPUNIT_ASSERT(answer.header("Retry-After").has_value());
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, server.received().size());
}

TEST_THAT(gateway, runs_a_non_idempotent_request_at_most_once) {
  gateway_fixture fixture;
  fake_server& first = fixture.add_server("s1", "stations", abort_connection);
  fake_server& second = fixture.add_server("s2", "stations", abort_connection);
  fixture.start();
  const http_response answer = fixture.expect_response(make_request("POST", "/order/7", "r1"));
  CPPUNIT_ASSERT_EQUAL(502U, answer.status);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, first.received().size() + second.received().size());
}

TEST_THAT(gateway, retries_an_idempotent_request_at_another_server) {
  gateway_fixture fixture;
  fake_server& broken = fixture.add_server("s1", "stations", abort_connection);
  fixture.add_server("s2", "stations", answer_ok);
  fixture.start();
  for (int number = 0; number < 8; ++number) {
    const std::string id = "r" + std::to_string(number);
    CPPUNIT_ASSERT_EQUAL(200U, fixture.expect_response(make_request("GET", "/read/", id)).status);
  }
  CPPUNIT_ASSERT(broken.received().size() < 8);
}

TEST_THAT(gateway, uses_no_retry_budget_if_nothing_was_sent) {
  gateway_fixture fixture;
  for (const char* id : {"gone-1", "gone-2", "gone-3"}) {
    // Nothing listens on port 1 of the loopback address.
    fixture.store().put(std::string("servers/") + id,
                        R"({"Service":"stations","Address":"127.0.0.1:1","Zone":"zg-istok",)"
                        R"("Slots":8,"State":"ready","born":1})");
  }
  fixture.add_server("s1", "stations", answer_ok);
  fixture.start_without_retries();
  for (int number = 0; number < 8; ++number) {
    const std::string id = "r" + std::to_string(number);
    CPPUNIT_ASSERT_EQUAL(200U,
                         fixture.expect_response(make_request("POST", "/order/7", id)).status);
  }
}

TEST_THAT(gateway, forwards_a_server_error_with_its_seal) {
  gateway_fixture fixture;
  fixture.add_server("s1", "stations", answer_error);
  fixture.start();
  const http_response answer = fixture.expect_response(make_request("GET", "/read/", "r1"));
  CPPUNIT_ASSERT_EQUAL(500U, answer.status);
  CPPUNIT_ASSERT(answer.header("X-Response-Seal").has_value());
}

TEST_THAT(gateway, answers_at_the_route_timeout) {
  gateway_fixture fixture;
  fake_server& silent = fixture.add_server("s1", "stations", never_answer);
  fixture.start();
  const http_response answer = fixture.expect_response(make_request("POST", "/late/7", "r1"));
  CPPUNIT_ASSERT_EQUAL(504U, answer.status);
  fixture.await([&] { return silent.disconnects() == 1; });
}

// Sends stream requests to two servers, of which the first sends only two events, until the second
// has resumed a stream of the first.  Each response must be complete.
// \returns the first server.
fake_server& resume_from(gateway_fixture& fixture, fake_server::behaviour first) {
  fake_server& broken = fixture.add_server("s1", "forecast", std::move(first));
  fake_server& whole = fixture.add_server("s2", "forecast", stream_four);
  fixture.start();
  bool resumed = false;
  for (int number = 0; number < 20 && !resumed; ++number) {
    http_request request = make_request("POST", "/draft/1", "r" + std::to_string(number));
    request.headers.emplace_back("X-Prompt-Prefix", std::to_string(number) + ":500,7:100");
    const http_response answer = fixture.expect_response(std::move(request));
    CPPUNIT_ASSERT_EQUAL(body_of_events(1, 4), answer.body);
    resumed = !broken.received().empty();
  }
  CPPUNIT_ASSERT(resumed);
  CPPUNIT_ASSERT(whole.received().back().header("Last-Event-Id") == "2");
  return broken;
}

TEST_THAT(gateway, resumes_a_broken_stream_at_another_server) {
  gateway_fixture fixture;
  resume_from(fixture, stream_two_and_abort);
}

TEST_THAT(gateway, resumes_a_stalled_stream_at_another_server) {
  gateway_fixture fixture;
  fake_server& silent = resume_from(fixture, stream_two_and_stall);
  fixture.await([&] { return silent.disconnects() == silent.received().size(); });
}

TEST_THAT(gateway, completes_a_stream_resumed_after_its_last_event) {
  gateway_fixture fixture;
  fixture.add_server("s1", "forecast", stream_four);
  fixture.start();
  http_request request = make_request("POST", "/draft/1", "r1");
  request.headers.emplace_back("X-Prompt-Prefix", "1:500,7:100");
  request.headers.emplace_back("Last-Event-Id", "4");
  const http_response answer = fixture.expect_response(std::move(request));
  CPPUNIT_ASSERT_EQUAL(200U, answer.status);
  CPPUNIT_ASSERT_EQUAL(std::string(), answer.body);
}

TEST_THAT(gateway, starts_no_stream_late_in_the_drain) {
  gateway_fixture fixture;
  fixture.allow_drain();
  fake_server& server = fixture.add_server("s1", "forecast", stream_four);
  fixture.start();
  fixture.gateway().begin_stop();
  unsigned status = 200;
  for (int number = 0; status == 200; ++number) {
    http_request request = make_request("POST", "/draft/1", "r" + std::to_string(number));
    request.headers.emplace_back("X-Prompt-Prefix", "1:500,7:100");
    request.headers.emplace_back("Connection", "close");
    const auto answer = fixture.call(std::move(request));
    status = answer ? answer->status : 0;
  }
  CPPUNIT_ASSERT(status == 503 || status == 0);
  CPPUNIT_ASSERT(!server.received().empty());
}

TEST_THAT(gateway, applies_newer_configurations_only) {
  gateway_fixture fixture;
  fixture.add_server("s1", "stations", answer_ok);
  fixture.start();
  fixture.store().put("op/config", default_config(7, "new-key"));
  fixture.await(
      [&] { return fixture.expect_response(make_request("GET", "/read/", "r1")).status == 401; });
  fixture.store().put("op/config", default_config(3));
  http_request request = make_request("GET", "/read/", "r2");
  request.headers.back().second = "Bearer new-key";
  CPPUNIT_ASSERT_EQUAL(200U, fixture.expect_response(std::move(request)).status);
}

TEST_THAT(gateway, sends_nothing_to_a_leaving_server) {
  gateway_fixture fixture;
  fake_server& leaving = fixture.add_server("s1", "stations", answer_ok);
  fixture.add_server("s2", "stations", answer_slowly);
  fixture.start();
  fixture.list(leaving, "stations", true);
  fixture.await_no_requests(leaving);
}

TEST_THAT(gateway, keeps_serving_while_the_store_is_unavailable) {
  gateway_fixture fixture;
  fixture.add_server("s1", "stations", answer_ok);
  fixture.start();
  fixture.store().set_unavailable(true);
  CPPUNIT_ASSERT_EQUAL(200U, fixture.expect_response(make_request("GET", "/read/", "r1")).status);
  CPPUNIT_ASSERT_EQUAL(200U, fixture.readiness());
}

TEST_THAT(gateway, holds_requests_at_startup_until_routes_are_known) {
  gateway_fixture fixture;
  fixture.add_server("s1", "stations", answer_ok);
  fixture.start_without_store();
  CPPUNIT_ASSERT_EQUAL(503U, fixture.readiness());
  std::thread store_returns([&] { fixture.store().set_unavailable(false); });
  const http_response answer = fixture.expect_response(make_request("POST", "/order/7", "r1"));
  store_returns.join();
  CPPUNIT_ASSERT_EQUAL(200U, answer.status);
}

TEST_THAT(gateway, learns_from_a_peer_while_the_store_is_unavailable) {
  gateway_fixture first;
  fake_server& leaving = first.add_server("s1", "stations", answer_ok);
  first.add_server("s2", "stations", answer_slowly);
  first.start();
  gateway_fixture second;
  second.store().set_unavailable(true);
  second.start({first.peers()});
  second.send_reads(1);
  first.list(leaving, "stations", true);
  second.await_no_requests(leaving);
  first.store().put("op/config", default_config(9, "new-key"));
  second.await(
      [&] { return second.expect_response(make_request("GET", "/read/", "t")).status == 401; });
}

// A peer that knows nothing must not have to wait for its own next exchange.
TEST_THAT(gateway, sends_a_peer_what_its_answer_shows_as_missing) {
  loopback_runtime runtime;
  recording_peer peer(runtime);
  gateway_fixture fixture;
  fixture.add_server("s1", "stations", answer_ok);
  fixture.start({peer.address()});
  fixture.await([&] {
    const auto heard = peer.received_messages();
    return std::any_of(heard.begin(), heard.end(), [](const relay::exchange_message& message) {
      return message.config && message.list && message.list->size() == 1;
    });
  });
}

// Entry VMs that receive a confirmation do not read the store themselves, so a false one would keep
// them on the old configuration.
TEST_THAT(gateway, confirms_no_configuration_if_the_newest_is_malformed) {
  loopback_runtime runtime;
  recording_peer peer(runtime);
  gateway_fixture fixture;
  fixture.add_server("s1", "stations", answer_ok);
  fixture.start({peer.address()});
  const std::int64_t unreadable = fixture.store().put("op/config", "{");
  // Twenty exchanges take longer than several calls to the store.
  const std::size_t before = peer.received_messages().size();
  fixture.await([&] { return peer.received_messages().size() >= before + 20; });
  for (const relay::exchange_message& message : peer.received_messages()) {
    CPPUNIT_ASSERT(message.config_seen.revision < unreadable);
  }
  fixture.store().put("op/config", default_config(2));
  fixture.await([&] { return peer.received_messages().back().config_version == 2; });
}

TEST_THAT(gateway, cancels_requests_of_disconnected_callers) {
  gateway_fixture fixture;
  fake_server& whole = fixture.add_server("s1", "stations", never_answer);
  fake_server& stream = fixture.add_server("e1", "forecast", never_answer);
  fixture.start();
  fixture.call_and_disconnect(make_request("POST", "/order/", "r1"));
  fixture.call_and_disconnect(make_request("POST", "/draft/", "r2"));
  fixture.await([&] { return whole.disconnects() == 1 && stream.disconnects() == 1; });
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, whole.received().size());
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, stream.received().size());
}

TEST_THAT(gateway, shows_requests_latencies_and_state_on_its_metrics_endpoint) {
  gateway_fixture fixture;
  fixture.add_server("s1", "stations", answer_ok);
  fixture.start();
  fixture.expect_response(make_request("GET", "/read/", "r1"));
  fixture.expect_response(make_request("GET", "/nowhere/", "r2"));
  const std::string text = fixture.metrics_text();
  const auto shows = [&](const std::string& line) { return text.find(line) != std::string::npos; };
  CPPUNIT_ASSERT(
      shows(R"(hawthornnotch_requests_total{outcome="delivered",service="stations"} 1)"));
  CPPUNIT_ASSERT(shows(R"(hawthornnotch_requests_total{outcome="no_route",service=""} 1)"));
  CPPUNIT_ASSERT(shows(R"(hawthornnotch_request_ms_count{service="stations"} 1)"));
  CPPUNIT_ASSERT(shows("hawthornnotch_config_version 1"));
  CPPUNIT_ASSERT(shows(R"(hawthornnotch_server_running{server="s1"} 0)"));
}

TEST_THAT(gateway, serves_requests_while_draining) {
  gateway_fixture fixture;
  fixture.allow_drain();
  fixture.add_server("s1", "stations", answer_ok);
  fixture.start();
  fixture.gateway().begin_stop();
  fixture.await([&] { return fixture.readiness() != 200; });
  const http_response answer = fixture.expect_response(make_request("GET", "/read/", "r1"));
  CPPUNIT_ASSERT_EQUAL(200U, answer.status);
  CPPUNIT_ASSERT(answer.header("Connection") == "close");
}

}  // namespace
}  // namespace hawthornnotch::test
