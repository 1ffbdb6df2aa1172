#include "hawthornnotch/policy/scheduler.h"

#include "scheduler_fixture.h"
#include "test_case.h"

namespace hawthornnotch::policy {
namespace {

using namespace literals;

TEST_THAT(scheduler, assigns_a_request_to_a_server_that_serves_its_model) {
  scheduler_fixture fixture({});
  fixture.apply_servers(3);
  const ticket request = fixture.submit(0);
  const auto decisions = fixture.subject().take_decisions();
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decisions.size());
  const auto& sent = std::get<assigned>(decisions.front());
  CPPUNIT_ASSERT_EQUAL(request, sent.request);
  CPPUNIT_ASSERT_EQUAL(1U, sent.attempt);
}

TEST_THAT(scheduler, refuses_immediately_what_no_server_serves) {
  scheduler_fixture fixture({});
  fixture.apply_servers(0);
  fixture.submit(0);
  const auto decisions = fixture.subject().take_decisions();
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decisions.size());
  CPPUNIT_ASSERT(std::get<refused>(decisions.front()).reason == refusal::no_backend_server);
}

TEST_THAT(scheduler, does_not_retry_a_non_idempotent_request_that_was_sent) {
  scheduler_fixture fixture({});
  fixture.apply_servers(3);
  request_profile non_idempotent = fixture.profile(0);
  non_idempotent.traffic_class.idempotent = false;
  const ticket request = fixture.subject().submit(non_idempotent);
  fixture.subject().take_decisions();
  CPPUNIT_ASSERT(fixture.subject().retry(request, 1, attempt_end::connect_failed));
  const auto requeued = fixture.subject().take_decisions();
  CPPUNIT_ASSERT_EQUAL(2U, std::get<assigned>(requeued.at(0)).attempt);
  CPPUNIT_ASSERT(!fixture.subject().retry(request, 2, attempt_end::server_busy));
}

TEST_THAT(scheduler, prefers_another_server_for_a_retry) {
  scheduler_fixture fixture({});
  fixture.apply_servers(2);
  const ticket request = fixture.submit(0);
  const auto first = fixture.subject().take_decisions();
  CPPUNIT_ASSERT(fixture.subject().retry(request, 1, attempt_end::stream_failed));
  const auto second = fixture.subject().take_decisions();
  CPPUNIT_ASSERT(std::get<assigned>(first.at(0)).backend_server !=
                 std::get<assigned>(second.at(0)).backend_server);
}

// Runs the policy once and reports `tokens` tokens of the request's attempt.  Returns the attempt,
// 0 if the request was not assigned.
std::uint32_t deliver_tokens(scheduler_fixture& fixture, ticket request, std::uint32_t tokens) {
  for (const decision& next : fixture.subject().take_decisions()) {
    const auto* sent = std::get_if<assigned>(&next);
    if (sent != nullptr && sent->request == request) {
      fixture.subject().on_first_token(request, sent->attempt);
      fixture.subject().on_tokens(request, sent->attempt, tokens);
      return sent->attempt;
    }
  }
  return 0;
}

TEST_THAT(scheduler, resumes_streams_that_made_progress_beyond_the_retry_budget) {
  constexpr int streams = 40;
  scheduler_fixture fixture({});
  fixture.apply_servers(2);
  for (int number = 0; number < streams; ++number) {
    const ticket request = fixture.submit(0);
    const std::uint32_t attempt = deliver_tokens(fixture, request, 3);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(number), attempt > 0);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(number),
                           fixture.subject().retry(request, attempt, attempt_end::stream_failed));
    fixture.subject().on_caller_gone(request);
    fixture.time().advance(60_s);
  }
}

TEST_THAT(scheduler, limits_retries_that_repeat_work_to_the_retry_budget) {
  constexpr int streams = 40;
  scheduler_fixture fixture({});
  fixture.apply_servers(2);
  int repeated = 0;
  for (int number = 0; number < streams; ++number) {
    const ticket request = fixture.submit(0);
    const std::uint32_t attempt = deliver_tokens(fixture, request, 0);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(number), attempt > 0);
    repeated += fixture.subject().retry(request, attempt, attempt_end::stream_failed) ? 1 : 0;
    fixture.subject().on_caller_gone(request);
    fixture.time().advance(60_s);
  }
  CPPUNIT_ASSERT_MESSAGE(std::to_string(repeated), repeated < streams / 2);
}

TEST_THAT(scheduler, sends_nothing_to_a_leaving_server_listed_again_as_not_leaving) {
  scheduler_fixture fixture({});
  fixture.apply_servers(1, true);
  fixture.submit(0);
  CPPUNIT_ASSERT(std::holds_alternative<refused>(fixture.subject().take_decisions().at(0)));
  fixture.apply_servers(1, false);
  fixture.submit(0);
  CPPUNIT_ASSERT(std::holds_alternative<refused>(fixture.subject().take_decisions().at(0)));
}

TEST_THAT(scheduler, keeps_the_trace_of_a_request_after_its_end) {
  scheduler_fixture fixture({});
  fixture.apply_servers(1);
  const ticket request = fixture.submit(0);
  fixture.subject().take_decisions();
  fixture.subject().on_finished(request, 1, attempt_end::completed);
  const auto events = fixture.subject().explain(request);
  CPPUNIT_ASSERT_EQUAL(std::size_t{3}, events.size());
  CPPUNIT_ASSERT(events.at(0).kind == trace_event_kind::queued);
  CPPUNIT_ASSERT(events.at(1).kind == trace_event_kind::assigned);
  CPPUNIT_ASSERT(events.at(2).kind == trace_event_kind::finished);
}

TEST_THAT(scheduler, gives_a_request_with_zero_queue_limit_one_chance_to_start) {
  scheduler_fixture fixture({});
  fixture.apply_servers(1);
  request_profile no_queue_time = scheduler_fixture::profile(0);
  no_queue_time.traffic_class.queue_limit = 0_ms;
  fixture.subject().submit(no_queue_time);
  fixture.time().advance(10_ms);
  CPPUNIT_ASSERT(std::holds_alternative<assigned>(fixture.subject().take_decisions().at(0)));
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
