// Concurrent use of one scheduler; meant for ThreadSanitizer builds too.
#include <atomic>
#include <thread>
#include <vector>

#include "hawthornnotch/base/result.h"
#include "scheduler_fixture.h"
#include "test_case.h"

namespace hawthornnotch::policy {
namespace {

TEST_THAT(several_threads, end_each_request_exactly_once) {
  constexpr int threads = 4;
  constexpr int requests_each = 500;
  scheduler_fixture fixture({});
  fixture.apply_servers(4);
  std::atomic<int> ended = 0;
  const auto carry_out_decisions = [&] {
    for (const decision& next : fixture.subject().take_decisions()) {
      std::visit(overloaded{
                     [&](const assigned& sent) {
                       fixture.subject().on_first_token(sent.request, sent.attempt);
                       fixture.subject().on_tokens(sent.request, sent.attempt, 2);
                       fixture.subject().on_finished(sent.request, sent.attempt,
                                                     attempt_end::completed);
                       ++ended;
                     },
                     [&](const refused&) { ++ended; },
                     [&](const preempted&) { CPPUNIT_FAIL("nothing is urgent here"); },
                 },
                 next);
    }
  };
  std::vector<std::thread> workers;
  workers.reserve(threads);
  for (int worker = 0; worker < threads; ++worker) {
    workers.emplace_back([&fixture, &carry_out_decisions, worker] {
      for (int count = 0; count < requests_each; ++count) {
        request_profile profile = scheduler_fixture::profile(static_cast<tier>(count % tier_count));
        profile.serves = "model";
        profile.workspace = "workspace-" + std::to_string(worker);
        fixture.subject().submit(profile);
        carry_out_decisions();
        if (count % 50 == 0) {
          fixture.apply_servers(4 + worker);
          static_cast<void>(fixture.subject().view());
        }
      }
    });
  }
  for (std::thread& worker : workers) {
    worker.join();
  }
  while (ended < threads * requests_each) {
    carry_out_decisions();
  }
  const scheduler_totals totals = fixture.subject().view().totals;
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{threads * requests_each}, totals.submitted);
  CPPUNIT_ASSERT_EQUAL(totals.submitted, totals.completed + totals.refused);
}

}  // namespace
}  // namespace hawthornnotch::policy
