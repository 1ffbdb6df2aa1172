// Guards against requests that a planned stop cuts without an answer.
#include <chrono>
#include <future>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "gateway_fixture.h"
#include "test_case.h"

namespace hawthornnotch::test {
namespace {

using std::chrono::milliseconds;

// The fixture's grace time is 5 s, of which the last 0.4 s are reserved; the balancer has noticed
// the stop after 2.8 s.
constexpr milliseconds late_in_the_grace{4'000};
constexpr milliseconds long_work{1'500};

constexpr std::string_view endless_id = "endless";

// Never answers the request that keeps the process from ending before its grace is over.
boost::asio::awaitable<void> answer_after_long_work(const http_request& request,
                                                    net::response_writer& writer) {
  if (request.header("X-Attempt-Id") == endless_id) {
    co_await never_answer(request, writer);
    co_return;
  }
  boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, long_work);
  co_await timer.async_wait(boost::asio::use_awaitable);
  co_await answer_ok(request, writer);
}

TEST_THAT(planned_stop, turns_a_late_request_away_that_may_outlast_the_grace) {
  for (const char* path : {"/order/7", "/read/7"}) {
    gateway_fixture fixture;
    fixture.allow_drain();
    fake_server& server = fixture.add_server("s1", "stations", answer_after_long_work);
    fixture.start();
    auto open = std::async(std::launch::async, [&] {
      return fixture.call(make_request("POST", "/order/1", std::string(endless_id)));
    });
    std::this_thread::sleep_for(milliseconds(50));
    fixture.gateway().begin_stop();
    std::this_thread::sleep_for(late_in_the_grace);
    const auto answer = fixture.call(make_request("POST", path, "late"));
    (void)open.get();
    CPPUNIT_ASSERT_MESSAGE(path, answer.has_value());
    CPPUNIT_ASSERT_EQUAL(503U, answer->status);
    for (const http_request& each : server.received()) {
      CPPUNIT_ASSERT(each.header("X-Attempt-Id") != "late");
    }
  }
}

TEST_THAT(planned_stop, takes_a_late_request_that_ends_within_the_grace) {
  gateway_fixture fixture;
  fixture.allow_drain();
  fixture.add_server("s1", "stations", answer_after_long_work);
  fixture.start();
  auto open = std::async(std::launch::async, [&] {
    return fixture.call(make_request("POST", "/order/1", "open")).has_value();
  });
  std::this_thread::sleep_for(milliseconds(50));
  fixture.gateway().begin_stop();
  std::this_thread::sleep_for(milliseconds(1'000));
  const auto answer = fixture.call(make_request("POST", "/order/2", "late"));
  CPPUNIT_ASSERT(answer.has_value());
  CPPUNIT_ASSERT_EQUAL(200U, answer->status);
  CPPUNIT_ASSERT(open.get());
}

// The process answers what it can't wait for.
TEST_THAT(planned_stop, answers_an_open_request_at_the_end_of_the_grace) {
  gateway_fixture fixture;
  fixture.allow_drain();
  fixture.add_server("s1", "stations", never_answer);
  fixture.start();
  auto open = std::async(std::launch::async,
                         [&] { return fixture.call(make_request("POST", "/order/1", "open")); });
  std::this_thread::sleep_for(milliseconds(50));
  fixture.gateway().begin_stop();
  const auto answer = open.get();
  CPPUNIT_ASSERT(answer.has_value());
  CPPUNIT_ASSERT_EQUAL(504U, answer->status);
}

// Sends events that no caller takes, until the connection ends.
boost::asio::awaitable<void> stream_much(const http_request& request,
                                         net::response_writer& writer) {
  co_await stream_two(request, writer);
  const std::string event = ":" + std::string(64 * 1024, 'a') + "\n\n";
  bool open = true;
  while (open) {
    const auto written = co_await writer.write(event);
    open = written.has_value();
  }
}

// Guards against an end by a signal after SIGTERM while callers don't read their streams (report of
// the review): requests that were still open were destroyed after the state that they refer to.
TEST_THAT(planned_stop, ends_cleanly_while_callers_do_not_read) {
  constexpr int callers = 8;
  // Until the buffers between server and caller are full.
  constexpr milliseconds filling_time{3'000};
  gateway_fixture fixture;
  fixture.add_server("s1", "forecast", stream_much);
  fixture.start();
  std::vector<std::unique_ptr<net::response_stream>> unread;
  unread.reserve(callers);
  for (int number = 0; number < callers; ++number) {
    unread.push_back(
        fixture.open_unread(make_request("POST", "/draft/", "a" + std::to_string(number))));
  }
  std::this_thread::sleep_for(filling_time);
  fixture.stop();
}

}  // namespace
}  // namespace hawthornnotch::test
