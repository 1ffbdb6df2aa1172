#include "gateway/event_splitter.h"

#include "test_case.h"

namespace hawthornnotch::gateway::internal {
namespace {

TEST_THAT(event_splitter, hands_on_whole_events_only) {
  event_splitter splitter(std::nullopt);
  const event_batch first = splitter.take("id: 1\ndata: a\n\nid: 2\nda");
  CPPUNIT_ASSERT_EQUAL(std::string("id: 1\ndata: a\n\n"), first.text);
  CPPUNIT_ASSERT(!splitter.between_events());
  const event_batch second = splitter.take("ta: b\n\n");
  CPPUNIT_ASSERT_EQUAL(std::string("id: 2\ndata: b\n\n"), second.text);
  CPPUNIT_ASSERT(splitter.between_events());
}

TEST_THAT(event_splitter, joins_a_stream_that_goes_on_at_another_server) {
  event_splitter splitter(std::nullopt);
  splitter.take("id: 1\ndata: a\n\nid: 2\ndata: hal");
  splitter.restart();
  const event_batch again = splitter.take("id: 1\ndata: a\n\nid: 2\ndata: half\n\n");
  CPPUNIT_ASSERT_EQUAL(std::string("id: 2\ndata: half\n\n"), again.text);
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, *splitter.last_id());
}

TEST_THAT(event_splitter, notices_a_missing_event) {
  event_splitter splitter(std::nullopt);
  splitter.take("id: 1\ndata: a\n\n");
  CPPUNIT_ASSERT(splitter.take("id: 3\ndata: c\n\n").out_of_order);
}

TEST_THAT(event_splitter, goes_on_behind_the_event_that_the_caller_has) {
  event_splitter splitter(12);
  CPPUNIT_ASSERT(!splitter.take("id: 13\ndata: n\n\n").out_of_order);
  event_splitter other(12);
  CPPUNIT_ASSERT(other.take("id: 15\ndata: n\n\n").out_of_order);
}

}  // namespace
}  // namespace hawthornnotch::gateway::internal
