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
  CPPUNIT_ASSERT(splitter.take("id: 3\ndata: c\n\n").broken);
}

TEST_THAT(event_splitter, goes_on_behind_the_event_that_the_caller_has) {
  event_splitter splitter(12);
  CPPUNIT_ASSERT(!splitter.take("id: 13\ndata: n\n\n").broken);
  event_splitter other(12);
  CPPUNIT_ASSERT(other.take("id: 15\ndata: n\n\n").broken);
}

TEST_THAT(event_splitter, finds_an_end_that_comes_in_two_pieces) {
  event_splitter splitter(std::nullopt);
  CPPUNIT_ASSERT_EQUAL(0U, splitter.take("id: 1\ndata: a\n").count);
  CPPUNIT_ASSERT_EQUAL(1U, splitter.take("\n").count);
}

// Feeds a piece again and again until the splitter gives up.
// \returns the bytes it took, or none where it never does.
std::optional<std::size_t> bytes_until_broken(std::string_view begin, std::string_view piece) {
  constexpr std::size_t most_bytes = 16 * 1024 * 1024;
  event_splitter splitter(std::nullopt);
  splitter.take(begin);
  for (std::size_t bytes = 0; bytes < most_bytes; bytes += piece.size()) {
    if (splitter.take(piece).broken) {
      return bytes;
    }
  }
  return std::nullopt;
}

TEST_THAT(event_splitter, gives_up_on_bytes_that_bring_no_event) {
  const std::string block(16 * 1024, 'a');
  CPPUNIT_ASSERT(bytes_until_broken("id: 1\ndata: ", block).has_value());
  CPPUNIT_ASSERT(bytes_until_broken("id: 1\ndata: a\n\n", "id: 1\ndata: a\n\n").has_value());
}

TEST_THAT(event_splitter, goes_on_with_events_however_many_come) {
  CPPUNIT_ASSERT(!bytes_until_broken("", "data: " + std::string(16 * 1024, 'a') + "\n\n"));
}

}  // namespace
}  // namespace hawthornnotch::gateway::internal
