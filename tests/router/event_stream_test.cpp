#include "hawthornnotch/router/event_stream.h"

#include "hawthornnotch/base/clock.h"
#include "router/lifecycle.h"
#include "test_case.h"

namespace hawthornnotch::router {
namespace {

constexpr std::string_view three_events =
    "data: one\n\n: note\n\ndata: two\r\n\r\ndata: a\ndata: b\n\n";

std::vector<std::string> split_in_chunks(std::size_t chunk_size) {
  event_splitter splitter(100);
  std::vector<std::string> found;
  for (std::size_t at = 0; at < three_events.size(); at += chunk_size) {
    splitter.add(three_events.substr(at, chunk_size));
    while (auto data = splitter.next()) {
      found.push_back(std::move(*data));
    }
  }
  return found;
}

TEST_THAT(event_splitter, returns_the_same_events_for_every_chunk_size) {
  const std::vector<std::string> expected = {"one", "two", "a\nb"};
  for (std::size_t chunk_size = 1; chunk_size <= three_events.size(); ++chunk_size) {
    CPPUNIT_ASSERT_MESSAGE(std::to_string(chunk_size), split_in_chunks(chunk_size) == expected);
  }
}

TEST_THAT(event_splitter, reports_an_event_that_exceeds_the_limit) {
  event_splitter splitter(10);
  splitter.add("data: 0123456789abcdef");
  CPPUNIT_ASSERT(!splitter.next());
  CPPUNIT_ASSERT(splitter.overflowed());
}

TEST_THAT(read_event, rejects_malformed_data_and_errors) {
  for (const char* data : {"", "{", "7", "[]", R"({"error":{"message":"x"}})"}) {
    CPPUNIT_ASSERT_MESSAGE(data, !read_event(data, model_endpoint::chat).has_value());
  }
}

TEST_THAT(read_event, reads_what_write_event_writes) {
  for (const model_endpoint path : {model_endpoint::chat, model_endpoint::completion}) {
    const response_identity identity{"id", "m", 1, path};
    const std::string written = write_event(identity, {"a \"b\" \n", "stop"}, true);
    event_splitter splitter(1000);
    splitter.add(written);
    const auto event = read_event(*splitter.next(), path);
    const auto& text = std::get<text_event>(*event);
    CPPUNIT_ASSERT_EQUAL(std::string("a \"b\" \n"), text.text);
    CPPUNIT_ASSERT_EQUAL(std::string("stop"), text.finish_reason);
  }
}

TEST_THAT(lifecycle, accepts_new_requests_during_the_balancer_notice_period) {
  stepped_clock clock;
  stop_settings settings;
  settings.balancer_notice = {5'000};
  internal::lifecycle phases(settings, clock);
  CPPUNIT_ASSERT(phases.now() == internal::phase::serving);
  CPPUNIT_ASSERT(phases.begin_stop());
  clock.advance({4'999});
  CPPUNIT_ASSERT(phases.now() == internal::phase::lame_duck);
  CPPUNIT_ASSERT(!phases.begin_stop());
  clock.advance({1});
  CPPUNIT_ASSERT(phases.now() == internal::phase::rejecting);
}

TEST_THAT(lifecycle, may_exit_once_no_request_is_in_progress_or_the_drain_timeout_has_passed) {
  stepped_clock clock;
  stop_settings settings;
  settings.balancer_notice = {0};
  settings.drain_timeout = {60'000};
  internal::lifecycle phases(settings, clock);
  CPPUNIT_ASSERT(!phases.may_exit(0, 0));
  phases.begin_stop();
  CPPUNIT_ASSERT(phases.may_exit(0, 0));
  clock.advance({59'999});
  CPPUNIT_ASSERT(!phases.may_exit(1, 0));
  clock.advance({1});
  CPPUNIT_ASSERT(phases.may_exit(1, 0));
}

TEST_THAT(lifecycle, waits_for_claims_to_settle_only_up_to_the_settle_timeout) {
  stepped_clock clock;
  stop_settings settings;
  settings.balancer_notice = {0};
  settings.settle_timeout = {5'000};
  internal::lifecycle phases(settings, clock);
  phases.begin_stop();
  CPPUNIT_ASSERT(!phases.may_exit(1, 1));
  clock.advance({20'000});
  CPPUNIT_ASSERT(!phases.may_exit(0, 1));
  clock.advance({4'999});
  CPPUNIT_ASSERT(!phases.may_exit(0, 1));
  clock.advance({1});
  CPPUNIT_ASSERT(phases.may_exit(0, 1));
}

}  // namespace
}  // namespace hawthornnotch::router
