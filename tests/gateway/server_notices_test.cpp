// Servers announce in their responses that they are leaving or full.
#include <tuple>

#include "gateway_fixture.h"
#include "test_case.h"

namespace hawthornnotch::test {
namespace {

namespace asio = boost::asio;

// Sends idempotent requests until the server has received one.
void send_reads_until_received(gateway_fixture& fixture, fake_server& server) {
  fixture.await([&] {
    fixture.send_reads(1);
    return !server.received().empty();
  });
}

void expect_no_more_requests(gateway_fixture& fixture, fake_server& server) {
  constexpr int requests = 40;
  const std::size_t before = server.received().size();
  fixture.send_reads(requests);
  CPPUNIT_ASSERT_EQUAL(before, server.received().size());
}

TEST_THAT(leaving_server, gets_no_requests_after_announcing_it_while_the_store_is_down) {
  gateway_fixture fixture;
  fake_server& leaving = fixture.add_server("s1", "stations", answer_and_leave);
  fixture.add_server("s2", "stations", answer_ok);
  fixture.start();
  fixture.store().set_unavailable(true);
  send_reads_until_received(fixture, leaving);
  expect_no_more_requests(fixture, leaving);
}

TEST_THAT(leaving_server, gets_no_requests_after_announcing_it_in_a_rejection) {
  gateway_fixture fixture;
  fake_server& leaving = fixture.add_server("s1", "stations", refuse_and_leave);
  fixture.add_server("s2", "stations", answer_slowly);
  fixture.start();
  send_reads_until_received(fixture, leaving);
  expect_no_more_requests(fixture, leaving);
}

TEST_THAT(leaving_server, stays_excluded_while_the_list_shows_it_as_ready) {
  gateway_fixture fixture;
  fake_server& leaving = fixture.add_server("s1", "stations", answer_and_leave);
  fixture.add_server("s2", "stations", answer_ok);
  fixture.start();
  send_reads_until_received(fixture, leaving);
  fake_server& fresh = fixture.add_server("s3", "stations", answer_ok);
  send_reads_until_received(fixture, fresh);
  expect_no_more_requests(fixture, leaving);
}

TEST_THAT(leaving_server, stays_excluded_across_a_restore_of_the_store) {
  gateway_fixture fixture;
  fake_server& leaving = fixture.add_server("s1", "stations", answer_and_leave);
  fixture.add_server("s2", "stations", answer_ok);
  fixture.start();
  const fake_store::snapshot older = fixture.store().take_snapshot();
  send_reads_until_received(fixture, leaving);
  fixture.store().restore(older);
  fake_server& fresh = fixture.add_server("s3", "stations", answer_ok);
  send_reads_until_received(fixture, fresh);
  expect_no_more_requests(fixture, leaving);
}

TEST_THAT(leaving_server, gets_requests_again_after_a_restart) {
  gateway_fixture fixture;
  fake_server& leaving = fixture.add_server("s1", "stations", answer_and_leave);
  fixture.add_server("s2", "stations", answer_ok);
  fixture.start();
  send_reads_until_received(fixture, leaving);
  const std::size_t before = leaving.received().size();
  fixture.store().put("servers/s1", leaving.entry("stations", false, 2));
  fixture.await([&] {
    fixture.send_reads(1);
    return leaving.received().size() > before;
  });
}

TEST_THAT(leaving_server, is_announced_to_the_other_entry_vms) {
  gateway_fixture first;
  fake_server& leaving = first.add_server("s1", "stations", answer_and_leave);
  first.add_server("s2", "stations", answer_slowly);
  first.start();
  gateway_fixture second;
  second.store().set_unavailable(true);
  second.start({first.peers()});
  send_reads_until_received(first, leaving);
  // The second gateway learns of it without having sent the server a request.
  second.await([&] { return second.metric("hawthornnotch_servers_leaving_total") == 1.0; });
  expect_no_more_requests(second, leaving);
}

// Announces that the server is leaving, sends two events and aborts the connection.
asio::awaitable<void> stream_two_leave_and_abort(const http_request& request,
                                                 net::response_writer& writer) {
  net::header_list headers;
  headers.emplace_back("X-Attempt-Id", request.header("X-Attempt-Id").value_or(""));
  headers.emplace_back("X-Response-Seal", "seal");
  headers.emplace_back("Server-Leaving", "1");
  std::ignore = co_await writer.start(200, std::move(headers));
  std::ignore = co_await writer.write("id: 1\ndata: token\n\nid: 2\ndata: token\n\n");
  writer.abort();
}

TEST_THAT(leaving_server, gets_no_streams_after_announcing_it_in_a_broken_one) {
  gateway_fixture fixture;
  fake_server& leaving = fixture.add_server("s1", "forecast", stream_two_leave_and_abort);
  fake_server& whole = fixture.add_server("s2", "forecast", stream_four);
  fixture.start();
  int streams = 0;
  const auto stream_once = [&] {
    const std::string number = std::to_string(++streams);
    http_request request = make_request("POST", "/draft/1", "r" + number);
    request.headers.emplace_back("X-Prompt-Prefix", number + ":500,7:100");
    CPPUNIT_ASSERT_EQUAL(200U, fixture.expect_response(std::move(request)).status);
  };
  fixture.await([&] {
    stream_once();
    return !leaving.received().empty();
  });
  CPPUNIT_ASSERT(whole.received().back().header("Last-Event-Id") == "2");
  constexpr int further_streams = 20;
  for (int number = 0; number < further_streams; ++number) {
    stream_once();
  }
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, leaving.received().size());
}

TEST_THAT(full_server, gets_no_requests_during_its_pause) {
  gateway_fixture fixture;
  fake_server& full = fixture.add_server("s1", "stations", refuse_for("30"));
  fixture.add_server("s2", "stations", answer_ok);
  fixture.start();
  send_reads_until_received(fixture, full);
  expect_no_more_requests(fixture, full);
}

TEST_THAT(full_server, gets_requests_again_after_its_pause) {
  gateway_fixture fixture;
  fake_server& full = fixture.add_server("s1", "stations", refuse_for("0.2"));
  fixture.start();
  fixture.await([&] {
    CPPUNIT_ASSERT_EQUAL(503U, fixture.expect_response(make_request("GET", "/read/", "r1")).status);
    return full.received().size() > 1;
  });
}

TEST_THAT(full_server, stays_paused_after_being_removed_and_listed_again) {
  gateway_fixture fixture;
  fake_server& full = fixture.add_server("s1", "stations", refuse_for("29.5"));
  fixture.add_server("s2", "stations", answer_ok);
  fixture.start();
  send_reads_until_received(fixture, full);
  fixture.store().erase("servers/s1");
  fake_server& third = fixture.add_server("s3", "stations", answer_ok);
  send_reads_until_received(fixture, third);
  fixture.list(full, "stations");
  fake_server& fourth = fixture.add_server("s4", "stations", answer_ok);
  send_reads_until_received(fixture, fourth);
  expect_no_more_requests(fixture, full);
}

TEST_THAT(full_server, causes_an_immediate_overloaded_error_if_all_are_full) {
  gateway_fixture fixture;
  fake_server& first = fixture.add_server("s1", "stations", refuse_for("9"));
  fake_server& second = fixture.add_server("s2", "stations", refuse_for("12"));
  fixture.start();
  fixture.await([&] {
    CPPUNIT_ASSERT_EQUAL(503U, fixture.expect_response(make_request("GET", "/read/", "r1")).status);
    return !first.received().empty() && !second.received().empty();
  });
  const std::size_t before = first.received().size() + second.received().size();
  constexpr int requests = 10;
  for (int number = 0; number < requests; ++number) {
    http_request request = make_request("POST", "/order/", "o" + std::to_string(number));
    request.headers[2].second = "60000";
    const http_response answer = fixture.expect_response(std::move(request));
    CPPUNIT_ASSERT_EQUAL(503U, answer.status);
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"error":"overloaded"})"), answer.body);
    const double seconds = std::stod(std::string(*answer.header("Retry-After")));
    CPPUNIT_ASSERT(seconds > 1.0 && seconds < 20.0);
  }
  CPPUNIT_ASSERT_EQUAL(before, first.received().size() + second.received().size());
}

TEST_THAT(full_server, does_not_count_as_failed) {
  gateway_fixture fixture;
  fake_server& full = fixture.add_server("s1", "stations", refuse_for("0.05"));
  fixture.add_server("s2", "stations", answer_ok);
  fixture.start();
  send_reads_until_received(fixture, full);
  CPPUNIT_ASSERT(fixture.metrics_text().find(
                     R"(hawthornnotch_server_failure_share{server="s1"} 0)") != std::string::npos);
}

TEST_THAT(full_server, is_not_paused_by_a_malformed_retry_after) {
  gateway_fixture fixture;
  std::vector<std::string> nonsense = {"soon", "-3", "nan", "", "1e999"};
  fake_server& refusing = fixture.add_server(
      "s1", "stations",
      [nonsense, next = 0U](const http_request& request,
                            net::response_writer& writer) mutable -> asio::awaitable<void> {
        const auto refuse = refuse_for(nonsense.at(next++));
        co_await refuse(request, writer);
      });
  fixture.start();
  for (const std::string& each : nonsense) {
    const std::size_t before = refusing.received().size();
    CPPUNIT_ASSERT_EQUAL(503U, fixture.expect_response(make_request("GET", "/read/", "r1")).status);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(each, before + 1, refusing.received().size());
  }
}

TEST_THAT(full_servers, are_tried_a_limited_number_of_times) {
  constexpr std::size_t servers = 12;
  constexpr std::size_t max_attempts = 4;
  gateway_fixture fixture;
  std::vector<fake_server*> all;
  for (std::size_t number = 0; number < servers; ++number) {
    const std::string id = "s" + std::to_string(number);
    all.push_back(&fixture.add_server(id, "stations", refuse_unexecuted));
  }
  fixture.start();
  CPPUNIT_ASSERT_EQUAL(503U, fixture.expect_response(make_request("POST", "/order/", "r1")).status);
  std::size_t received = 0;
  for (fake_server* each : all) {
    received += each->received().size();
  }
  CPPUNIT_ASSERT_EQUAL(max_attempts, received);
}

}  // namespace
}  // namespace hawthornnotch::test
