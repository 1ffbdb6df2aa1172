#include "hawthornnotch/policy/scheduler.h"

#include "policy_case.h"
#include "test_case.h"

namespace hawthornnotch::policy {
namespace {

using namespace literals;

TEST_THAT(scheduler, assigns_a_request_to_a_server_that_serves_its_model) {
  policy_case fixture({});
  fixture.apply_servers(3);
  const ticket asked = fixture.submit(0);
  const auto decisions = fixture.decides().take_decisions();
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decisions.size());
  const auto& sent = std::get<assigned>(decisions.front());
  CPPUNIT_ASSERT_EQUAL(asked, sent.request);
  CPPUNIT_ASSERT_EQUAL(1U, sent.attempt);
}

TEST_THAT(scheduler, refuses_at_once_what_no_server_serves) {
  policy_case fixture({});
  fixture.apply_servers(0);
  fixture.submit(0);
  const auto decisions = fixture.decides().take_decisions();
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decisions.size());
  CPPUNIT_ASSERT(std::get<refused>(decisions.front()).reason == refusal::no_backend_server);
}

TEST_THAT(scheduler, gives_a_non_idempotent_request_no_second_try_once_bytes_left) {
  policy_case fixture({});
  fixture.apply_servers(3);
  request_profile order = fixture.profile(0);
  order.traffic_class.idempotent = false;
  const ticket asked = fixture.decides().submit(order);
  fixture.decides().take_decisions();
  CPPUNIT_ASSERT(fixture.decides().retry(asked, 1, attempt_end::connect_failed));
  const auto again = fixture.decides().take_decisions();
  CPPUNIT_ASSERT_EQUAL(2U, std::get<assigned>(again.at(0)).attempt);
  CPPUNIT_ASSERT(!fixture.decides().retry(asked, 2, attempt_end::server_busy));
}

TEST_THAT(scheduler, prefers_another_server_for_a_second_try) {
  policy_case fixture({});
  fixture.apply_servers(2);
  const ticket asked = fixture.submit(0);
  const auto first = fixture.decides().take_decisions();
  CPPUNIT_ASSERT(fixture.decides().retry(asked, 1, attempt_end::stream_failed));
  const auto second = fixture.decides().take_decisions();
  CPPUNIT_ASSERT(std::get<assigned>(first.at(0)).backend_server !=
                 std::get<assigned>(second.at(0)).backend_server);
}

// Takes decisions until the request is assigned, and brings `tokens` tokens of that try.
std::uint32_t run_until_tokens(policy_case& fixture, ticket asked, std::uint32_t tokens) {
  for (const decision& next : fixture.decides().take_decisions()) {
    const auto* sent = std::get_if<assigned>(&next);
    if (sent != nullptr && sent->request == asked) {
      fixture.decides().on_first_token(asked, sent->attempt);
      fixture.decides().on_tokens(asked, sent->attempt, tokens);
      return sent->attempt;
    }
  }
  return 0;
}

TEST_THAT(scheduler, resumes_streams_that_made_progress_beyond_the_retry_budget) {
  constexpr int streams = 40;
  policy_case fixture({});
  fixture.apply_servers(2);
  for (int number = 0; number < streams; ++number) {
    const ticket asked = fixture.submit(0);
    const std::uint32_t attempt = run_until_tokens(fixture, asked, 3);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(number), attempt > 0);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(number),
                           fixture.decides().retry(asked, attempt, attempt_end::stream_failed));
    fixture.decides().on_caller_gone(asked);
    fixture.time().advance(60_s);
  }
}

TEST_THAT(scheduler, keeps_tries_that_repeat_work_to_the_retry_budget) {
  constexpr int streams = 40;
  policy_case fixture({});
  fixture.apply_servers(2);
  int repeated = 0;
  for (int number = 0; number < streams; ++number) {
    const ticket asked = fixture.submit(0);
    const std::uint32_t attempt = run_until_tokens(fixture, asked, 0);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(number), attempt > 0);
    repeated += fixture.decides().retry(asked, attempt, attempt_end::stream_failed) ? 1 : 0;
    fixture.decides().on_caller_gone(asked);
    fixture.time().advance(60_s);
  }
  CPPUNIT_ASSERT_MESSAGE(std::to_string(repeated), repeated < streams / 2);
}

TEST_THAT(scheduler, sends_nothing_to_a_leaving_server_though_a_later_snapshot_forgets_it) {
  policy_case fixture({});
  fixture.apply_servers(1, true);
  fixture.submit(0);
  CPPUNIT_ASSERT(std::holds_alternative<refused>(fixture.decides().take_decisions().at(0)));
  fixture.apply_servers(1, false);
  fixture.submit(0);
  CPPUNIT_ASSERT(std::holds_alternative<refused>(fixture.decides().take_decisions().at(0)));
}

TEST_THAT(scheduler, explains_a_request_after_its_end) {
  policy_case fixture({});
  fixture.apply_servers(1);
  const ticket asked = fixture.submit(0);
  fixture.decides().take_decisions();
  fixture.decides().on_finished(asked, 1, attempt_end::completed);
  const auto notes = fixture.decides().explain(asked);
  CPPUNIT_ASSERT_EQUAL(std::size_t{3}, notes.size());
  CPPUNIT_ASSERT(notes.at(0).kind == trace_event_kind::queued);
  CPPUNIT_ASSERT(notes.at(1).kind == trace_event_kind::assigned);
  CPPUNIT_ASSERT(notes.at(2).kind == trace_event_kind::finished);
}

TEST_THAT(scheduler, gives_a_request_without_queue_time_one_chance_to_start) {
  policy_case fixture({});
  fixture.apply_servers(1);
  request_profile hasty = policy_case::profile(0);
  hasty.traffic_class.queue_limit = 0_ms;
  fixture.decides().submit(hasty);
  fixture.time().advance(10_ms);
  CPPUNIT_ASSERT(std::holds_alternative<assigned>(fixture.decides().take_decisions().at(0)));
}

TEST_THAT(scheduler, rejects_settings_out_of_range) {
  stepped_clock time;
  scheduler_settings settings;
  settings.shards = 0;
  const auto made = scheduler::create(settings, time, 1);
  CPPUNIT_ASSERT(!made);
  CPPUNIT_ASSERT(made.last_reason() == scheduler_failure::shards_out_of_range);
}

}  // namespace
}  // namespace hawthornnotch::policy
