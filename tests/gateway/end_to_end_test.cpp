// The whole path over real sockets: caller, gateway, store and backend servers.
#include <algorithm>
#include <thread>
#include <tuple>

#include "listening_peer.h"
#include "test_case.h"
#include "world.h"

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

TEST_THAT(gateway, serves_an_idempotent_request_and_its_seal) {
  gateway_world world;
  world.add_server("s1", "stations", answer_whole);
  world.start();
  const http_response answer = world.must_answer(make_request("GET", "/read/sljeme?x=1", "r1"));
  CPPUNIT_ASSERT_EQUAL(200U, answer.status);
  CPPUNIT_ASSERT_EQUAL(std::string("/read/sljeme?x=1|"), answer.body);
  CPPUNIT_ASSERT(answer.header("X-Response-Seal") == "seal");
}

TEST_THAT(gateway, sets_what_servers_go_by_and_withholds_what_callers_may_not_set) {
  gateway_world world;
  fake_server& server = world.add_server("s1", "stations", answer_whole);
  world.start();
  http_request request = make_request("POST", "/order/7", "r1");
  request.body = "two crews";
  for (const char* name : {"X-Tenant", "X-Hold", "Kv-From", "X-Request-Urgency", "X-Pin-Ms"}) {
    request.headers.emplace_back(name, "forged");
  }
  request.headers.emplace_back("Connection", "X-Private");
  request.headers.emplace_back("X-Private", "1");
  request.headers.emplace_back("X-Other", "kept");
  CPPUNIT_ASSERT_EQUAL(200U, world.must_answer(std::move(request)).status);
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
  gateway_world world;
  world.add_server("s1", "stations", answer_whole);
  world.start();
  CPPUNIT_ASSERT_EQUAL(404U, world.must_answer(make_request("GET", "/none/", "r1")).status);
  http_request stolen = make_request("GET", "/read/", "r2");
  stolen.headers.back().second = "Bearer stolen";
  CPPUNIT_ASSERT_EQUAL(401U, world.must_answer(std::move(stolen)).status);
  http_request open = make_request("GET", "/open/", "r3");
  open.headers.pop_back();
  CPPUNIT_ASSERT_EQUAL(200U, world.must_answer(std::move(open)).status);
}

TEST_THAT(gateway, says_when_to_come_back_where_a_request_has_not_run) {
  gateway_world world;
  fake_server& server = world.add_server("s1", "stations", refuse_unrun);
  world.start();
  const http_response answer = world.must_answer(make_request("POST", "/order/7", "r1"));
  CPPUNIT_ASSERT_EQUAL(503U, answer.status);
  CPPUNIT_ASSERT(answer.header("Retry-After").has_value());
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, server.received().size());
}

TEST_THAT(gateway, runs_a_non_idempotent_request_at_most_once) {
  gateway_world world;
  fake_server& first = world.add_server("s1", "stations", break_off);
  fake_server& second = world.add_server("s2", "stations", break_off);
  world.start();
  const http_response answer = world.must_answer(make_request("POST", "/order/7", "r1"));
  CPPUNIT_ASSERT_EQUAL(502U, answer.status);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, first.received().size() + second.received().size());
}

TEST_THAT(gateway, repeats_an_idempotent_request_at_another_server) {
  gateway_world world;
  fake_server& broken = world.add_server("s1", "stations", break_off);
  world.add_server("s2", "stations", answer_whole);
  world.start();
  for (int number = 0; number < 8; ++number) {
    const std::string id = "r" + std::to_string(number);
    CPPUNIT_ASSERT_EQUAL(200U, world.must_answer(make_request("GET", "/read/", id)).status);
  }
  CPPUNIT_ASSERT(broken.received().size() < 8);
}

TEST_THAT(gateway, spends_no_retry_where_nothing_was_sent) {
  gateway_world world;
  for (const char* id : {"gone-1", "gone-2", "gone-3"}) {
    // Nobody listens at port 1 of the loopback address.
    world.store().put(std::string("servers/") + id,
                      R"({"Service":"stations","Address":"127.0.0.1:1","Zone":"zg-istok",)"
                      R"("Slots":8,"State":"ready","born":1})");
  }
  world.add_server("s1", "stations", answer_whole);
  world.start_without_retries();
  for (int number = 0; number < 8; ++number) {
    const std::string id = "r" + std::to_string(number);
    CPPUNIT_ASSERT_EQUAL(200U, world.must_answer(make_request("POST", "/order/7", id)).status);
  }
}

TEST_THAT(gateway, hands_on_a_servers_own_failure_with_its_seal) {
  gateway_world world;
  world.add_server("s1", "stations", answer_error);
  world.start();
  const http_response answer = world.must_answer(make_request("GET", "/read/", "r1"));
  CPPUNIT_ASSERT_EQUAL(500U, answer.status);
  CPPUNIT_ASSERT(answer.header("X-Response-Seal").has_value());
}

TEST_THAT(gateway, answers_when_the_routes_time_is_over) {
  gateway_world world;
  fake_server& silent = world.add_server("s1", "stations", never_answer);
  world.start();
  const http_response answer = world.must_answer(make_request("POST", "/late/7", "r1"));
  CPPUNIT_ASSERT_EQUAL(504U, answer.status);
  world.await([&] { return silent.left() == 1; });
}

// Streams from two servers, the first of which gives two events only, until the second one has
// gone on where the first stopped; each answer must be whole.
// \returns the first server.
fake_server& resume_from(gateway_world& world, fake_server::behaviour first) {
  fake_server& broken = world.add_server("s1", "forecast", std::move(first));
  fake_server& whole = world.add_server("s2", "forecast", stream_four);
  world.start();
  bool resumed = false;
  for (int number = 0; number < 20 && !resumed; ++number) {
    http_request request = make_request("POST", "/draft/1", "r" + std::to_string(number));
    request.headers.emplace_back("X-Prompt-Prefix", std::to_string(number) + ":500,7:100");
    const http_response answer = world.must_answer(std::move(request));
    CPPUNIT_ASSERT_EQUAL(body_of_events(1, 4), answer.body);
    resumed = !broken.received().empty();
  }
  CPPUNIT_ASSERT(resumed);
  CPPUNIT_ASSERT(whole.received().back().header("Last-Event-Id") == "2");
  return broken;
}

TEST_THAT(gateway, streams_events_and_goes_on_at_another_server) {
  gateway_world world;
  resume_from(world, stream_two_and_break);
}

TEST_THAT(gateway, goes_on_at_another_server_when_a_stream_falls_silent) {
  gateway_world world;
  fake_server& silent = resume_from(world, stream_two_and_fall_silent);
  world.await([&] { return silent.left() == silent.received().size(); });
}

TEST_THAT(gateway, ends_a_stream_that_goes_on_behind_its_last_event) {
  gateway_world world;
  world.add_server("s1", "forecast", stream_four);
  world.start();
  http_request request = make_request("POST", "/draft/1", "r1");
  request.headers.emplace_back("X-Prompt-Prefix", "1:500,7:100");
  request.headers.emplace_back("Last-Event-Id", "4");
  const http_response answer = world.must_answer(std::move(request));
  CPPUNIT_ASSERT_EQUAL(200U, answer.status);
  CPPUNIT_ASSERT_EQUAL(std::string(), answer.body);
}

TEST_THAT(gateway, begins_no_stream_when_too_little_time_is_left_to_stop) {
  gateway_world world;
  fake_server& server = world.add_server("s1", "forecast", stream_four);
  world.start();
  world.gateway().begin_stop();
  unsigned status = 200;
  for (int number = 0; status == 200; ++number) {
    http_request request = make_request("POST", "/draft/1", "r" + std::to_string(number));
    request.headers.emplace_back("X-Prompt-Prefix", "1:500,7:100");
    request.headers.emplace_back("Connection", "close");
    const auto answer = world.call(std::move(request));
    status = answer ? answer->status : 0;
  }
  CPPUNIT_ASSERT(status == 503 || status == 0);
  CPPUNIT_ASSERT(!server.received().empty());
}

TEST_THAT(gateway, follows_the_configuration_and_never_goes_back) {
  gateway_world world;
  world.add_server("s1", "stations", answer_whole);
  world.start();
  world.store().put("op/config", usual_config(7, "new-key"));
  world.await([&] { return world.must_answer(make_request("GET", "/read/", "r1")).status == 401; });
  world.store().put("op/config", usual_config(3));
  http_request request = make_request("GET", "/read/", "r2");
  request.headers.back().second = "Bearer new-key";
  CPPUNIT_ASSERT_EQUAL(200U, world.must_answer(std::move(request)).status);
}

TEST_THAT(gateway, sends_nothing_to_a_server_that_leaves) {
  gateway_world world;
  fake_server& leaving = world.add_server("s1", "stations", answer_whole);
  world.add_server("s2", "stations", answer_slowly);
  world.start();
  world.list(leaving, "stations", true);
  world.await_no_work(leaving);
}

TEST_THAT(gateway, serves_on_while_the_store_is_away) {
  gateway_world world;
  world.add_server("s1", "stations", answer_whole);
  world.start();
  world.store().set_away(true);
  CPPUNIT_ASSERT_EQUAL(200U, world.must_answer(make_request("GET", "/read/", "r1")).status);
  CPPUNIT_ASSERT_EQUAL(200U, world.readiness());
}

TEST_THAT(gateway, holds_requests_until_a_process_that_has_just_started_knows_its_routes) {
  gateway_world world;
  world.add_server("s1", "stations", answer_whole);
  world.start_before_the_store();
  CPPUNIT_ASSERT_EQUAL(503U, world.readiness());
  std::thread store_returns([&] { world.store().set_away(false); });
  const http_response answer = world.must_answer(make_request("POST", "/order/7", "r1"));
  store_returns.join();
  CPPUNIT_ASSERT_EQUAL(200U, answer.status);
}

TEST_THAT(gateway, learns_from_a_peer_while_the_store_turns_it_away) {
  gateway_world first;
  fake_server& leaving = first.add_server("s1", "stations", answer_whole);
  first.add_server("s2", "stations", answer_slowly);
  first.start();
  gateway_world second;
  second.store().set_away(true);
  second.start({first.peers()});
  second.read_often(1);
  first.list(leaving, "stations", true);
  second.await_no_work(leaving);
  first.store().put("op/config", usual_config(9, "new-key"));
  second.await(
      [&] { return second.must_answer(make_request("GET", "/read/", "t")).status == 401; });
}

// A peer that knows nothing must not wait for its own turn to ask.
TEST_THAT(gateway, sends_a_peer_what_its_answer_shows_to_be_missing_there) {
  loopback around;
  listening_peer peer(around);
  gateway_world world;
  world.add_server("s1", "stations", answer_whole);
  world.start({peer.address()});
  world.await([&] {
    const auto heard = peer.heard();
    return std::any_of(heard.begin(), heard.end(), [](const relay::exchange_message& message) {
      return message.config && message.list && message.list->size() == 1;
    });
  });
}

// The entry VMs that hear a confirmation do not look for themselves.
TEST_THAT(gateway, confirms_no_configuration_where_the_newest_cannot_be_read) {
  loopback around;
  listening_peer peer(around);
  gateway_world world;
  world.add_server("s1", "stations", answer_whole);
  world.start({peer.address()});
  const std::int64_t unreadable = world.store().put("op/config", "{");
  // Twenty exchanges last longer than several calls to the store.
  const std::size_t before = peer.heard().size();
  world.await([&] { return peer.heard().size() >= before + 20; });
  for (const relay::exchange_message& message : peer.heard()) {
    CPPUNIT_ASSERT(message.config_seen.revision < unreadable);
  }
  world.store().put("op/config", usual_config(2));
  world.await([&] { return peer.heard().back().config_version == 2; });
}

TEST_THAT(gateway, ends_the_work_of_a_caller_that_has_left) {
  gateway_world world;
  fake_server& whole = world.add_server("s1", "stations", never_answer);
  fake_server& stream = world.add_server("e1", "forecast", never_answer);
  world.start();
  world.call_and_leave(make_request("POST", "/order/", "r1"));
  world.call_and_leave(make_request("POST", "/draft/", "r2"));
  world.await([&] { return whole.left() == 1 && stream.left() == 1; });
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, whole.received().size());
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, stream.received().size());
}

TEST_THAT(gateway, shows_requests_latencies_and_state_on_its_metrics_door) {
  gateway_world world;
  world.add_server("s1", "stations", answer_whole);
  world.start();
  world.must_answer(make_request("GET", "/read/", "r1"));
  world.must_answer(make_request("GET", "/nowhere/", "r2"));
  const std::string text = world.metrics_text();
  const auto shows = [&](const std::string& line) { return text.find(line) != std::string::npos; };
  CPPUNIT_ASSERT(
      shows(R"(hawthornnotch_requests_total{outcome="delivered",service="stations"} 1)"));
  CPPUNIT_ASSERT(shows(R"(hawthornnotch_requests_total{outcome="no_route",service=""} 1)"));
  CPPUNIT_ASSERT(shows(R"(hawthornnotch_request_ms_count{service="stations"} 1)"));
  CPPUNIT_ASSERT(shows("hawthornnotch_config_version 1"));
  CPPUNIT_ASSERT(shows(R"(hawthornnotch_server_running{server="s1"} 0)"));
}

TEST_THAT(gateway, finishes_what_it_has_begun_when_it_stops) {
  gateway_world world;
  world.add_server("s1", "stations", answer_whole);
  world.start();
  world.gateway().begin_stop();
  world.await([&] { return world.readiness() != 200; });
  const http_response answer = world.must_answer(make_request("GET", "/read/", "r1"));
  CPPUNIT_ASSERT_EQUAL(200U, answer.status);
  CPPUNIT_ASSERT(answer.header("Connection") == "close");
}

}  // namespace
}  // namespace hawthornnotch::test
