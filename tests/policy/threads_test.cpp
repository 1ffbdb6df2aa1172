// Several threads on one scheduler; meant for a build with ThreadSanitizer too.
#include <atomic>
#include <thread>
#include <vector>

#include "hawthornnotch/base/result.h"
#include "policy_case.h"
#include "test_case.h"

namespace hawthornnotch::policy {
namespace {

TEST_THAT(several_threads, end_each_request_exactly_once) {
  constexpr int threads = 4;
  constexpr int requests_each = 500;
  policy_case fixture({});
  fixture.apply_servers(4);
  std::atomic<int> ended = 0;
  const auto settle = [&] {
    for (const decision& next : fixture.decides().take_decisions()) {
      std::visit(overloaded{
                     [&](const assigned& sent) {
                       fixture.decides().on_first_token(sent.request, sent.attempt);
                       fixture.decides().on_tokens(sent.request, sent.attempt, 2);
                       fixture.decides().on_finished(sent.request, sent.attempt,
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
    workers.emplace_back([&fixture, &settle, worker] {
      for (int count = 0; count < requests_each; ++count) {
        request_profile profile = policy_case::profile(static_cast<tier>(count % tier_count));
        profile.serves = "model";
        profile.workspace = "workspace-" + std::to_string(worker);
        fixture.decides().submit(profile);
        settle();
        if (count % 50 == 0) {
          fixture.apply_servers(4 + worker);
          static_cast<void>(fixture.decides().view());
        }
      }
    });
  }
  for (std::thread& worker : workers) {
    worker.join();
  }
  while (ended < threads * requests_each) {
    settle();
  }
  const scheduler_totals totals = fixture.decides().view().totals;
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{threads * requests_each}, totals.submitted);
  CPPUNIT_ASSERT_EQUAL(totals.submitted, totals.completed + totals.refused);
}

}  // namespace
}  // namespace hawthornnotch::policy
