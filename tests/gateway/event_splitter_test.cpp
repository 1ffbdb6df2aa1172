#include "gateway/event_splitter.h"

#include "test_case.h"

namespace hawthornnotch::gateway::internal {
namespace {

TEST_THAT(event_splitter, forwards_complete_events_only) {
  event_splitter splitter(std::nullopt);
  const event_batch first = splitter.take("id: 1\ndata: a\n\nid: 2\nda");
  CPPUNIT_ASSERT_EQUAL(std::string("id: 1\ndata: a\n\n"), first.text);
  CPPUNIT_ASSERT(!splitter.between_events());
  const event_batch second = splitter.take("ta: b\n\n");
  CPPUNIT_ASSERT_EQUAL(std::string("id: 2\ndata: b\n\n"), second.text);
  CPPUNIT_ASSERT(splitter.between_events());
}

TEST_THAT(event_splitter, joins_a_stream_resumed_at_another_server) {
  event_splitter splitter(std::nullopt);
  splitter.take("id: 1\ndata: a\n\nid: 2\ndata: hal");
  splitter.restart();
  const event_batch again = splitter.take("id: 1\ndata: a\n\nid: 2\ndata: half\n\n");
  CPPUNIT_ASSERT_EQUAL(std::string("id: 2\ndata: half\n\n"), again.text);
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, *splitter.last_id());
}

TEST_THAT(event_splitter, detects_a_missing_event) {
  event_splitter splitter(std::nullopt);
  splitter.take("id: 1\ndata: a\n\n");
  CPPUNIT_ASSERT(splitter.take("id: 3\ndata: c\n\n").broken);
}

TEST_THAT(event_splitter, resumes_after_the_last_event_of_the_caller) {
  event_splitter splitter(12);
  CPPUNIT_ASSERT(!splitter.take("id: 13\ndata: n\n\n").broken);
  event_splitter other(12);
  CPPUNIT_ASSERT(other.take("id: 15\ndata: n\n\n").broken);
}

TEST_THAT(event_splitter, finds_an_event_end_split_across_reads) {
  event_splitter splitter(std::nullopt);
  CPPUNIT_ASSERT_EQUAL(0U, splitter.take("id: 1\ndata: a\n").count);
  CPPUNIT_ASSERT_EQUAL(1U, splitter.take("\n").count);
}

// Feeds a piece repeatedly until the splitter reports the stream as broken.
// \returns the bytes fed until then, or none if it never does.
std::optional<std::size_t> bytes_until_broken(std::string_view begin, std::string_view piece) {
  constexpr std::size_t max_bytes = 16 * 1024 * 1024;
  event_splitter splitter(std::nullopt);
  splitter.take(begin);
  for (std::size_t bytes = 0; bytes < max_bytes; bytes += piece.size()) {
    if (splitter.take(piece).broken) {
      return bytes;
    }
  }
  return std::nullopt;
}

TEST_THAT(event_splitter, reports_a_stream_without_new_events_as_broken) {
  const std::string block(16 * 1024, 'a');
  CPPUNIT_ASSERT(bytes_until_broken("id: 1\ndata: ", block).has_value());
  CPPUNIT_ASSERT(bytes_until_broken("id: 1\ndata: a\n\n", "id: 1\ndata: a\n\n").has_value());
}

TEST_THAT(event_splitter, accepts_any_number_of_events) {
  CPPUNIT_ASSERT(!bytes_until_broken("", "data: " + std::string(16 * 1024, 'a') + "\n\n"));
}

}  // namespace
}  // namespace hawthornnotch::gateway::internal
