#include "hawthornnotch/standin/engine_batch.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <string>

#include "test_case.h"

namespace {

using namespace hawthornnotch::standin;

// Requests that write their name down when they get the batch's one slot.
struct one_slot_batch {
  boost::asio::io_context context;
  engine_batch batch{1, {}};
  std::string started;

  boost::asio::awaitable<void> request(char name, std::int64_t priority, cancellation& cancelled) {
    const bool has_slot = co_await batch.acquire(priority, cancelled);
    if (has_slot) {
      started += name;
    }
  }
  void begin(char name, std::int64_t priority, cancellation& cancelled) {
    boost::asio::co_spawn(context, request(name, priority, cancelled), boost::asio::detached);
    run();
  }
  void run() {
    context.restart();
    context.poll();
  }
  void end_one() {
    batch.release();
    run();
  }
};

TEST_THAT(engine_batch, gives_a_free_slot_to_the_lowest_priority_number_then_the_oldest) {
  one_slot_batch requests;
  cancellation none;
  cancellation also_none[3];
  requests.begin('r', 9, none);
  requests.begin('l', 5, also_none[0]);
  requests.begin('m', 5, also_none[1]);
  requests.begin('u', 0, also_none[2]);
  CPPUNIT_ASSERT_EQUAL(std::size_t{3}, requests.batch.current().waiting);
  requests.end_one();
  requests.end_one();
  requests.end_one();
  CPPUNIT_ASSERT_EQUAL(std::string("rulm"), requests.started);
}

TEST_THAT(engine_batch, passes_over_a_request_cancelled_while_it_waits) {
  one_slot_batch requests;
  cancellation running;
  cancellation gone;
  cancellation next;
  requests.begin('r', 0, running);
  requests.begin('g', 0, gone);
  requests.begin('n', 0, next);
  gone.request();
  requests.run();
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, requests.batch.current().waiting);
  requests.end_one();
  CPPUNIT_ASSERT_EQUAL(std::string("rn"), requests.started);
}

TEST_THAT(engine_batch, hands_on_the_slot_of_a_request_cancelled_as_it_gets_it) {
  one_slot_batch requests;
  cancellation running;
  cancellation gone;
  cancellation next;
  requests.begin('r', 0, running);
  requests.begin('g', 0, gone);
  requests.begin('n', 0, next);
  requests.batch.release();
  gone.request();
  requests.run();
  CPPUNIT_ASSERT_EQUAL(std::string("rn"), requests.started);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, requests.batch.current().running);
}

TEST_THAT(prefix_cache, forgets_the_least_recently_used_prefix) {
  prefix_cache cache(2);
  CPPUNIT_ASSERT(!cache.touch(1));
  CPPUNIT_ASSERT(!cache.touch(2));
  CPPUNIT_ASSERT(cache.touch(1));
  CPPUNIT_ASSERT(!cache.touch(3));
  CPPUNIT_ASSERT(cache.touch(1));
  CPPUNIT_ASSERT(!cache.touch(2));
}

}  // namespace
