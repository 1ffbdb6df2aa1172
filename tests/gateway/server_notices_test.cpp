// What servers say of themselves in their answers: that they leave, and that they are full.
#include <tuple>

#include "test_case.h"
#include "world.h"

namespace hawthornnotch::test {
namespace {

namespace asio = boost::asio;

// Sends idempotent requests until the server has had one.
void read_until_reached(gateway_world& world, fake_server& server) {
  world.await([&] {
    world.read_often(1);
    return !server.received().empty();
  });
}

void expect_no_more_work(gateway_world& world, fake_server& server) {
  constexpr int requests = 40;
  const std::size_t before = server.received().size();
  world.read_often(requests);
  CPPUNIT_ASSERT_EQUAL(before, server.received().size());
}

TEST_THAT(leaving_server, gets_nothing_more_after_an_answer_that_says_so_without_the_store) {
  gateway_world world;
  fake_server& leaving = world.add_server("s1", "stations", answer_and_leave);
  world.add_server("s2", "stations", answer_whole);
  world.start();
  world.store().set_away(true);
  read_until_reached(world, leaving);
  expect_no_more_work(world, leaving);
}

TEST_THAT(leaving_server, gets_nothing_more_after_a_refusal_that_says_so) {
  gateway_world world;
  fake_server& leaving = world.add_server("s1", "stations", refuse_and_leave);
  world.add_server("s2", "stations", answer_slowly);
  world.start();
  read_until_reached(world, leaving);
  expect_no_more_work(world, leaving);
}

TEST_THAT(leaving_server, stays_so_while_the_list_says_that_it_is_ready) {
  gateway_world world;
  fake_server& leaving = world.add_server("s1", "stations", answer_and_leave);
  world.add_server("s2", "stations", answer_whole);
  world.start();
  read_until_reached(world, leaving);
  fake_server& fresh = world.add_server("s3", "stations", answer_whole);
  read_until_reached(world, fresh);
  expect_no_more_work(world, leaving);
}

TEST_THAT(leaving_server, stays_so_across_a_restore_of_the_store) {
  gateway_world world;
  fake_server& leaving = world.add_server("s1", "stations", answer_and_leave);
  world.add_server("s2", "stations", answer_whole);
  world.start();
  const fake_store::copy older = world.store().take_copy();
  read_until_reached(world, leaving);
  world.store().restore(older);
  fake_server& fresh = world.add_server("s3", "stations", answer_whole);
  read_until_reached(world, fresh);
  expect_no_more_work(world, leaving);
}

TEST_THAT(leaving_server, is_another_one_after_its_next_start) {
  gateway_world world;
  fake_server& leaving = world.add_server("s1", "stations", answer_and_leave);
  world.add_server("s2", "stations", answer_whole);
  world.start();
  read_until_reached(world, leaving);
  const std::size_t before = leaving.received().size();
  world.store().put("servers/s1", leaving.entry("stations", false, 2));
  world.await([&] {
    world.read_often(1);
    return leaving.received().size() > before;
  });
}

TEST_THAT(leaving_server, is_told_to_the_other_entry_vms) {
  gateway_world first;
  fake_server& leaving = first.add_server("s1", "stations", answer_and_leave);
  first.add_server("s2", "stations", answer_slowly);
  first.start();
  gateway_world second;
  second.store().set_away(true);
  second.start({first.peers()});
  read_until_reached(first, leaving);
  // It hears of it though no request of its own has reached the server.
  second.await([&] { return second.metric("hawthornnotch_servers_leaving_total") == 1.0; });
  expect_no_more_work(second, leaving);
}

// The stream's first part comes from the server that leaves; what follows may not.
asio::awaitable<void> stream_two_leave_and_break(const http_request& request,
                                                 net::response_writer& writer) {
  net::header_list headers;
  headers.emplace_back("X-Attempt-Id", request.header("X-Attempt-Id").value_or(""));
  headers.emplace_back("X-Response-Seal", "seal");
  headers.emplace_back("Server-Leaving", "1");
  std::ignore = co_await writer.start(200, std::move(headers));
  std::ignore = co_await writer.write("id: 1\ndata: token\n\nid: 2\ndata: token\n\n");
  writer.abort();
}

TEST_THAT(leaving_server, ends_what_it_runs_and_gets_no_stream_that_goes_on_elsewhere) {
  gateway_world world;
  fake_server& leaving = world.add_server("s1", "forecast", stream_two_leave_and_break);
  fake_server& whole = world.add_server("s2", "forecast", stream_four);
  world.start();
  int streams = 0;
  const auto stream_once = [&] {
    const std::string number = std::to_string(++streams);
    http_request request = make_request("POST", "/draft/1", "r" + number);
    request.headers.emplace_back("X-Prompt-Prefix", number + ":500,7:100");
    CPPUNIT_ASSERT_EQUAL(200U, world.must_answer(std::move(request)).status);
  };
  world.await([&] {
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

TEST_THAT(full_server, gets_nothing_for_the_time_it_asked_for) {
  gateway_world world;
  fake_server& full = world.add_server("s1", "stations", refuse_for("30"));
  world.add_server("s2", "stations", answer_whole);
  world.start();
  read_until_reached(world, full);
  expect_no_more_work(world, full);
}

TEST_THAT(full_server, gets_work_again_when_its_time_is_over) {
  gateway_world world;
  fake_server& full = world.add_server("s1", "stations", refuse_for("0.2"));
  world.start();
  world.await([&] {
    CPPUNIT_ASSERT_EQUAL(503U, world.must_answer(make_request("GET", "/read/", "r1")).status);
    return full.received().size() > 1;
  });
}

TEST_THAT(full_server, keeps_the_longest_time_over_a_new_reading_of_the_list) {
  gateway_world world;
  fake_server& full = world.add_server("s1", "stations", refuse_for("29.5"));
  world.add_server("s2", "stations", answer_whole);
  world.start();
  read_until_reached(world, full);
  world.store().erase("servers/s1");
  fake_server& third = world.add_server("s3", "stations", answer_whole);
  read_until_reached(world, third);
  world.list(full, "stations");
  fake_server& fourth = world.add_server("s4", "stations", answer_whole);
  read_until_reached(world, fourth);
  expect_no_more_work(world, full);
}

TEST_THAT(full_server, is_the_reason_for_an_answer_at_once_where_all_are_full) {
  gateway_world world;
  fake_server& first = world.add_server("s1", "stations", refuse_for("9"));
  fake_server& second = world.add_server("s2", "stations", refuse_for("12"));
  world.start();
  world.await([&] {
    CPPUNIT_ASSERT_EQUAL(503U, world.must_answer(make_request("GET", "/read/", "r1")).status);
    return !first.received().empty() && !second.received().empty();
  });
  const std::size_t before = first.received().size() + second.received().size();
  constexpr int requests = 10;
  for (int number = 0; number < requests; ++number) {
    http_request request = make_request("POST", "/order/", "o" + std::to_string(number));
    request.headers[2].second = "60000";
    const http_response answer = world.must_answer(std::move(request));
    CPPUNIT_ASSERT_EQUAL(503U, answer.status);
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"error":"overloaded"})"), answer.body);
    const double seconds = std::stod(std::string(*answer.header("Retry-After")));
    CPPUNIT_ASSERT(seconds > 1.0 && seconds < 20.0);
  }
  CPPUNIT_ASSERT_EQUAL(before, first.received().size() + second.received().size());
}

TEST_THAT(full_server, is_not_a_failing_one) {
  gateway_world world;
  fake_server& full = world.add_server("s1", "stations", refuse_for("0.05"));
  world.add_server("s2", "stations", answer_whole);
  world.start();
  read_until_reached(world, full);
  CPPUNIT_ASSERT(world.metrics_text().find(
                     R"(hawthornnotch_server_failure_share{server="s1"} 0)") != std::string::npos);
}

TEST_THAT(full_server, is_not_left_for_a_time_that_is_no_time) {
  gateway_world world;
  std::vector<std::string> nonsense = {"soon", "-3", "nan", "", "1e999"};
  fake_server& refusing = world.add_server(
      "s1", "stations",
      [nonsense, next = 0U](const http_request& request,
                            net::response_writer& writer) mutable -> asio::awaitable<void> {
        const auto refuse = refuse_for(nonsense.at(next++));
        co_await refuse(request, writer);
      });
  world.start();
  for (const std::string& each : nonsense) {
    const std::size_t before = refusing.received().size();
    CPPUNIT_ASSERT_EQUAL(503U, world.must_answer(make_request("GET", "/read/", "r1")).status);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(each, before + 1, refusing.received().size());
  }
}

TEST_THAT(full_servers, are_tried_a_few_at_a_time_until_the_caller_is_asked_to_come_back) {
  constexpr std::size_t servers = 12;
  constexpr std::size_t most_tries = 4;
  gateway_world world;
  std::vector<fake_server*> all;
  for (std::size_t number = 0; number < servers; ++number) {
    const std::string id = "s" + std::to_string(number);
    all.push_back(&world.add_server(id, "stations", refuse_unrun));
  }
  world.start();
  CPPUNIT_ASSERT_EQUAL(503U, world.must_answer(make_request("POST", "/order/", "r1")).status);
  std::size_t received = 0;
  for (fake_server* each : all) {
    received += each->received().size();
  }
  CPPUNIT_ASSERT_EQUAL(most_tries, received);
}

}  // namespace
}  // namespace hawthornnotch::test
