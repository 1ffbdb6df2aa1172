// What an entry VM remembers of the versions that began streams.
#include <string>
#include <vector>

#include "hawthornnotch/streams/origin_message.h"
#include "hawthornnotch/streams/origin_table.h"
#include "hawthornnotch/streams/stream_record.h"
#include "hawthornnotch/streams/version_history.h"
#include "test_case.h"

namespace hawthornnotch::streams {
namespace {

using namespace literals;

constexpr time_point start{1'000'000};

stream_origin make_origin(const std::string& attempt, const std::string& workspace = "zagreb") {
  return {{workspace, "forecast", attempt}, "v1", {}};
}

servers::server_entry make_entry(const std::string& id, const std::string& version) {
  servers::server_entry entry;
  entry.id = id;
  entry.service = "forecast";
  entry.software_version = version;
  return entry;
}

TEST_THAT(origin_table, finds_an_origin_until_the_stream_is_too_old) {
  origin_table table;
  table.record(make_origin("a"), origin_source::own, start);
  const auto found = table.find(make_origin("a").key, start + 5_s);
  CPPUNIT_ASSERT(found);
  CPPUNIT_ASSERT_EQUAL(std::string("v1"), found->software_version);
  CPPUNIT_ASSERT_EQUAL((5_s).ms, found->age.ms);
  CPPUNIT_ASSERT(!table.find(make_origin("a").key, start + max_stream_age + 1_ms));
}

TEST_THAT(origin_table, opens_no_stream_of_another_workspace_or_service) {
  origin_table table;
  table.record(make_origin("a"), origin_source::own, start);
  CPPUNIT_ASSERT(!table.find(make_origin("a", "split").key, start));
  stream_key other_service = make_origin("a").key;
  other_service.service = "drafts";
  CPPUNIT_ASSERT(!table.find(other_service, start));
}

TEST_THAT(origin_table, keeps_the_first_origin_told) {
  origin_table table;
  table.record(make_origin("a"), origin_source::own, start);
  stream_origin later = make_origin("a");
  later.software_version = "v2";
  table.record(later, origin_source::peer, start);
  CPPUNIT_ASSERT_EQUAL(std::string("v1"),
                       table.find(make_origin("a").key, start)->software_version);
}

TEST_THAT(origin_table, is_bounded_per_workspace_and_in_total) {
  origin_table table({.max_per_workspace = 3, .max_total = 5});
  for (const char* attempt : {"a", "b", "c", "d"}) {
    table.record(make_origin(attempt), origin_source::own, start);
  }
  CPPUNIT_ASSERT(!table.find(make_origin("a").key, start));
  CPPUNIT_ASSERT(table.find(make_origin("d").key, start));
  for (const char* workspace : {"w1", "w2", "w3", "w4"}) {
    table.record(make_origin("a", workspace), origin_source::own, start);
  }
  CPPUNIT_ASSERT_EQUAL(std::size_t{5}, table.size());
}

TEST_THAT(origin_table, lists_own_unfinished_streams_only) {
  origin_table table;
  table.record(make_origin("a"), origin_source::own, start);
  table.record(make_origin("b"), origin_source::own, start);
  table.record(make_origin("c"), origin_source::peer, start);
  table.finish(make_origin("b").key);
  const auto own = table.own_streams("forecast", start);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, own.size());
  CPPUNIT_ASSERT_EQUAL(std::string("a"), own.front().key.attempt);
}

TEST_THAT(version_history, is_mixed_until_streams_of_the_removed_version_are_too_old) {
  version_history history;
  const std::vector<servers::server_entry> before{make_entry("s1", "v1")};
  const std::vector<servers::server_entry> during{make_entry("s1", "v1"), make_entry("s2", "v2")};
  const std::vector<servers::server_entry> after{make_entry("s2", "v2")};
  CPPUNIT_ASSERT(history.observe(before, start).empty());
  CPPUNIT_ASSERT(!history.is_mixed("forecast", start));
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, history.observe(during, start).size());
  CPPUNIT_ASSERT(history.observe(during, start + 90_s).empty());
  const time_point removed = start + 100_s;
  CPPUNIT_ASSERT(history.observe(after, removed).empty());
  CPPUNIT_ASSERT(history.is_mixed("forecast", removed + max_stream_age));
  CPPUNIT_ASSERT(!history.is_mixed("forecast", removed + max_stream_age + 1_ms));
  CPPUNIT_ASSERT(history.mixed_services(removed + max_stream_age + 1_ms).empty());
}

TEST_THAT(version_history, is_mixed_by_the_record_of_a_process_that_ended) {
  version_history history;
  const std::vector<servers::server_entry> listed{make_entry("s2", "v2")};
  (void)history.observe(listed, start);
  history.inherit({{"forecast", {"v1", "v2"}}}, start);
  CPPUNIT_ASSERT(history.is_mixed("forecast", start));
  (void)history.observe(listed, start + 1_s);
  CPPUNIT_ASSERT(history.is_mixed("forecast", start + max_stream_age));
  CPPUNIT_ASSERT(!history.is_mixed("forecast", start + max_stream_age + 1_ms));
}

TEST_THAT(origin_table, is_incomplete_while_a_dropped_origin_may_be_asked_for) {
  origin_table table({.max_per_workspace = 1, .max_total = 2});
  table.record(make_origin("a"), origin_source::own, start);
  CPPUNIT_ASSERT(table.is_complete(start));
  table.record(make_origin("b"), origin_source::own, start);
  CPPUNIT_ASSERT(!table.is_complete(start + max_stream_age));
  CPPUNIT_ASSERT(table.is_complete(start + max_stream_age + 1_ms));
}

TEST_THAT(version_history, has_the_version_that_served_alone_for_its_base) {
  version_history history;
  const std::vector<servers::server_entry> before{make_entry("s1", "v1")};
  const std::vector<servers::server_entry> during{make_entry("s1", "v1"), make_entry("s2", "v2")};
  const std::vector<servers::server_entry> after{make_entry("s2", "v2")};
  (void)history.observe(before, start);
  CPPUNIT_ASSERT(!history.base("forecast"));
  history.complete({}, start);
  CPPUNIT_ASSERT_EQUAL(std::string("v1"), *history.base("forecast"));
  (void)history.observe(during, start + 1_s);
  (void)history.observe(after, start + 2_s);
  CPPUNIT_ASSERT_EQUAL(std::string("v1"), *history.base("forecast"));
  (void)history.observe(after, start + 3_s + max_stream_age);
  CPPUNIT_ASSERT_EQUAL(std::string("v2"), *history.base("forecast"));
}

TEST_THAT(version_history, has_the_base_that_the_last_process_left) {
  version_history history;
  const std::vector<servers::server_entry> listed{make_entry("s2", "v2")};
  (void)history.observe(listed, start);
  history.inherit({{"forecast", {"v1"}}}, start);
  history.complete({{"forecast", {"v1"}}}, start);
  CPPUNIT_ASSERT_EQUAL(std::string("v1"), *history.base("forecast"));
}

TEST_THAT(version_history, has_no_base_if_versions_were_mixed_before_the_process_started) {
  version_history history;
  const std::vector<servers::server_entry> listed{make_entry("s2", "v2")};
  (void)history.observe(listed, start);
  history.inherit({{"forecast", {"v1", "v2"}}}, start);
  history.complete({}, start);
  CPPUNIT_ASSERT(!history.base("forecast"));
}

TEST_THAT(origin_message, is_decoded_as_encoded) {
  origin_message message;
  message.origins.push_back(make_origin("a"));
  message.origins.front().age = 7_ms;
  message.questions.push_back(make_origin("b").key);
  const auto decoded = decode_origin_message(encode(message));
  CPPUNIT_ASSERT(decoded);
  CPPUNIT_ASSERT(message == *decoded);
}

TEST_THAT(origin_message, is_refused_if_malformed) {
  for (const char* text :
       {"", "[]", "{}", R"({"origins":[],"questions":[1]})",
        R"({"origins":[{"workspace":"w","service":"s","attempt":"a","version":"v","age_ms":-1}],)"
        R"("questions":[]})",
        R"({"origins":[{"workspace":"w"}],"questions":[]})"}) {
    CPPUNIT_ASSERT_MESSAGE(text, !decode_origin_message(text));
  }
}

TEST_THAT(stream_record, is_decoded_as_encoded) {
  stream_record record;
  record.recent_versions = {{"forecast", {"v1", "v2"}}};
  record.streams = {make_origin("a"), make_origin("b"), make_origin("a", "split")};
  const auto decoded = decode_stream_record(encode(record));
  CPPUNIT_ASSERT(decoded);
  CPPUNIT_ASSERT(record.recent_versions == decoded->recent_versions);
  CPPUNIT_ASSERT_EQUAL(std::size_t{3}, decoded->streams.size());
  CPPUNIT_ASSERT(make_origin("a", "split") == decoded->streams.front());
}

TEST_THAT(stream_record, is_refused_if_malformed) {
  for (const char* text :
       {"", "7", "{}", R"({"versions":{},"streams":7})", R"({"versions":{"s":[1]},"streams":{}})",
        R"({"versions":{},"streams":{"s":{"v":{"w":["a",2]}}}})"}) {
    CPPUNIT_ASSERT_MESSAGE(text, !decode_stream_record(text));
  }
}

// A VM that was frozen or cut off takes what served alone before for the version before the
// release, though another one may have served alone meanwhile.
TEST_THAT(version_history, forgets_the_base_version_over_a_gap_in_its_observations) {
  version_history history;
  history.complete({}, start);
  history.observe(std::vector{make_entry("s1", "v1")}, start);
  CPPUNIT_ASSERT(history.base("forecast") == "v1");
  const std::vector both{make_entry("s1", "v1"), make_entry("s2", "v2")};
  history.observe(both, start + max_stream_age);
  CPPUNIT_ASSERT(history.base("forecast") == "v1");
  history.observe(both, start + max_stream_age * 2 + 1_ms);
  CPPUNIT_ASSERT(!history.base("forecast"));
}

}  // namespace
}  // namespace hawthornnotch::streams
