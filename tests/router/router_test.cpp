#include <boost/json/parse.hpp>

#include "router_fixture.h"
#include "test_case.h"

namespace hawthornnotch {
namespace {

using test::error_of;
using test::hello;
using test::hello_streamed;
using test::router_fixture;
using test::text_of;

net::header_list idempotency_key_header(std::string value) {
  net::header_list headers;
  headers.emplace_back("Idempotency-Key", std::move(value));
  return headers;
}

std::uint64_t engine_requests(router_fixture& fixture, std::size_t engine) {
  const auto counters =
      fixture.platform().send(fixture.engine(engine).address(), "GET", "/standin/counters", "");
  return boost::json::parse(counters.body).at("requests").to_number<std::uint64_t>();
}

// Polls /explain/ until the step `ended` is there: the caller receives the last byte of the
// response before the router records that step.
net::http_response explain_when_ended(router_fixture& fixture, const std::string& id) {
  constexpr int max_polls = 10'000;
  net::http_response explained;
  for (int poll = 0; poll < max_polls; ++poll) {
    explained = fixture.call_operator("GET", "/explain/" + id);
    if (explained.body.find("\"ended\"") != std::string::npos) {
      break;
    }
  }
  return explained;
}

TEST_THAT(router, is_not_ready_and_rejects_requests_before_it_has_a_configuration) {
  router_fixture fixture;
  CPPUNIT_ASSERT_EQUAL(503U, fixture.call_operator("GET", "/readyz").status);
  const auto answer = fixture.chat("chat", hello);
  CPPUNIT_ASSERT_EQUAL(std::string("not_ready"), error_of(answer, "code"));
  CPPUNIT_ASSERT_EQUAL(std::string("not_run"), error_of(answer, "outcome"));
  CPPUNIT_ASSERT(answer.header("Retry-After").has_value());
}

TEST_THAT(router, returns_the_same_text_streamed_and_unstreamed) {
  router_fixture fixture;
  fixture.configure();
  const auto buffered = fixture.chat("chat", hello);
  const auto streamed = fixture.chat("chat", hello_streamed);
  CPPUNIT_ASSERT_EQUAL(200U, buffered.status);
  CPPUNIT_ASSERT_EQUAL(text_of(buffered), text_of(streamed));
  CPPUNIT_ASSERT(streamed.body.find("data: [DONE]\n\n") != std::string::npos);
}

TEST_THAT(router, resumes_a_cut_stream_with_each_token_once_and_in_order) {
  router_fixture fixture({2, {}});
  fixture.configure();
  const std::string expected = text_of(fixture.chat("chat", hello));
  for (const int pieces : {1, 2, 5, 11}) {
    const std::string cut = R"({"kind":"cut_mid_stream","count":1,"path":"/v1/chat","value":)" +
                            std::to_string(pieces) + "}";
    fixture.fault(fixture.engine(0).address(), cut);
    fixture.fault(fixture.engine(1).address(), cut);
    const auto answer = fixture.chat("chat", hello_streamed);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(cut, expected, text_of(answer));
  }
}

TEST_THAT(router, runs_a_key_once_and_replays_its_recorded_answer) {
  router_fixture fixture;
  fixture.configure();
  const auto first = fixture.chat("order", hello, idempotency_key_header("order-1"));
  CPPUNIT_ASSERT_EQUAL(200U, first.status);
  auto again = fixture.chat("order", hello, idempotency_key_header("order-1"));
  while (error_of(again, "code") == "in_progress") {
    again = fixture.chat("order", hello, idempotency_key_header("order-1"));
  }
  CPPUNIT_ASSERT_EQUAL(first.body, again.body);
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, engine_requests(fixture, 0));
}

TEST_THAT(router, rejects_a_used_key_with_another_body) {
  router_fixture fixture;
  fixture.configure();
  fixture.chat("order", hello, idempotency_key_header("order-1"));
  const auto other = fixture.chat("order", hello_streamed, idempotency_key_header("order-1"));
  CPPUNIT_ASSERT_EQUAL(std::string("key_conflict"), error_of(other, "code"));
}

TEST_THAT(router, returns_not_run_while_the_platform_is_down_and_still_serves_idempotent_calls) {
  router_fixture fixture;
  fixture.configure();
  fixture.platform().fault(R"({"kind":"down"})");
  const auto order = fixture.chat("order", hello, idempotency_key_header("order-1"));
  CPPUNIT_ASSERT_EQUAL(503U, order.status);
  CPPUNIT_ASSERT_EQUAL(std::string("not_run"), error_of(order, "outcome"));
  CPPUNIT_ASSERT(order.header("Retry-After").has_value());
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, engine_requests(fixture, 0));
  CPPUNIT_ASSERT_EQUAL(200U, fixture.chat("chat", hello).status);
}

TEST_THAT(router, returns_unknown_when_a_non_idempotent_stream_breaks_and_never_retries_it) {
  router_fixture fixture({2, {}});
  fixture.configure();
  for (std::size_t engine = 0; engine < 2; ++engine) {
    fixture.fault(fixture.engine(engine).address(),
                  R"({"kind":"cut_mid_stream","value":3,"path":"/v1/chat"})");
  }
  const auto first = fixture.chat("order", hello, idempotency_key_header("order-1"));
  CPPUNIT_ASSERT_EQUAL(std::string("unknown"), error_of(first, "outcome"));
  const auto again = fixture.chat("order", hello, idempotency_key_header("order-1"));
  CPPUNIT_ASSERT_EQUAL(std::string("unknown"), error_of(again, "outcome"));
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, engine_requests(fixture, 0) + engine_requests(fixture, 1));
}

TEST_THAT(router, returns_not_run_and_releases_the_key_if_no_engine_accepts_a_connection) {
  router_fixture fixture({0, {}});
  backend_server gone;
  gone.id = "gone";
  gone.incarnation = "1";
  gone.failure_domain = "zg-istok";
  gone.serves = {"m"};
  gone.address = test::closed_address();
  fixture.configure({gone});
  const auto first = fixture.chat("order", hello, idempotency_key_header("order-1"));
  CPPUNIT_ASSERT_EQUAL_MESSAGE(first.body, std::string("not_run"), error_of(first, "outcome"));
  const test::standin_engine engine;
  backend_server live = gone;
  live.id = "live";
  live.address = engine.address();
  gone.leaving = true;
  fixture.configure({gone, live}, 2);
  auto again = fixture.chat("order", hello, idempotency_key_header("order-1"));
  while (error_of(again, "code") == "in_progress") {
    again = fixture.chat("order", hello, idempotency_key_header("order-1"));
  }
  CPPUNIT_ASSERT_EQUAL_MESSAGE(again.body, 200U, again.status);
}

TEST_THAT(router, returns_a_typed_error_for_malformed_or_oversized_responses) {
  router_fixture fixture;
  fixture.configure();
  for (const char* fault : {R"({"kind":"rubbish","count":8,"path":"/v1/chat"})",
                            R"({"kind":"flood","value":20000000,"count":8,"path":"/v1/chat"})",
                            R"({"kind":"refuse","value":500,"count":8,"path":"/v1/chat"})"}) {
    fixture.fault(fixture.engine(0).address(), fault);
    const auto answer = fixture.chat("chat", hello);
    CPPUNIT_ASSERT_MESSAGE(fault + answer.body, answer.status >= 500);
    CPPUNIT_ASSERT_MESSAGE(answer.body, !error_of(answer, "code").empty());
    fixture.fault(fixture.engine(0).address(), R"({"kind":"clear"})");
  }
}

TEST_THAT(router, sends_nothing_to_a_server_that_is_leaving) {
  router_fixture fixture;
  test::standin_engine leaving_engine;
  backend_server leaving;
  leaving.id = "leaving";
  leaving.incarnation = "1";
  leaving.failure_domain = "zg-istok";
  leaving.serves = {"m"};
  leaving.leaving = true;
  leaving.address = leaving_engine.address();
  fixture.configure({leaving});
  for (int number = 0; number < 10; ++number) {
    CPPUNIT_ASSERT_EQUAL(200U, fixture.chat("chat", hello).status);
  }
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{10}, engine_requests(fixture, 0));
}

TEST_THAT(router, completes_a_graceful_stop_and_rejects_new_requests_with_not_run) {
  router_fixture fixture;
  fixture.configure();
  CPPUNIT_ASSERT_EQUAL(200U, fixture.chat("chat", hello).status);
  CPPUNIT_ASSERT_EQUAL(200U, fixture.call_operator("POST", "/drain").status);
  const auto answer = fixture.chat("chat", hello);
  const bool refused = answer.status == 0 || error_of(answer, "outcome") == "not_run";
  CPPUNIT_ASSERT_MESSAGE(answer.body, refused);
  CPPUNIT_ASSERT(fixture.join());
}

TEST_THAT(router, explains_a_request_and_dumps_its_state) {
  router_fixture fixture;
  fixture.configure();
  const auto answer = fixture.chat("chat", hello);
  const std::string id(answer.header("x-request-id").value_or(""));
  const auto explained = explain_when_ended(fixture, id);
  for (const char* step : {"accepted", "queued", "assigned", "ended"}) {
    CPPUNIT_ASSERT_MESSAGE(explained.body, explained.body.find(step) != std::string::npos);
  }
  CPPUNIT_ASSERT_EQUAL(404U, fixture.call_operator("GET", "/explain/none").status);
  const auto dump = boost::json::parse(fixture.call_operator("GET", "/dump").body);
  CPPUNIT_ASSERT(dump.at("control").at("complete").as_bool());
  CPPUNIT_ASSERT(fixture.call_operator("GET", "/metrics").body.find("hawthornnotch_") !=
                 std::string::npos);
}

}  // namespace
}  // namespace hawthornnotch
