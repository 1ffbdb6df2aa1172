#include "hawthornnotch/claim/claim_service.h"

#include <optional>
#include <vector>

#include "hawthornnotch/claim/claim_record.h"
#include "stepped_platform.h"
#include "test_case.h"

namespace hawthornnotch::claim {
namespace {

using test::call_fault;
using test::call_info;
using test::call_kind;
using test::stepped_platform;

struct fixture {
  stepped_clock time;
  stepped_platform store{time};
  std::vector<stepped_platform::port*> ports;
  std::vector<std::unique_ptr<claim_service>> services;

  claim_service& add(const std::string& incarnation, claim_settings settings = {}) {
    ports.push_back(&store.connect());
    services.push_back(
        std::move(*claim_service::create(settings, *ports.back(), time, incarnation)));
    return *services.back();
  }
  void run(duration span) {
    constexpr duration step{10};
    for (std::int64_t left = span.ms; left > 0; left -= step.ms) {
      time.advance(step);
      store.run_due();
      for (const auto& service : services) {
        service->tick();
      }
    }
  }
  claim_outcome decide(claim_service& service, const std::string& key,
                       const std::string& body = "b") {
    std::optional<claim_outcome> outcome;
    service.claim({"w", key, body, "r"},
                  [&](claim_outcome decided) { outcome = std::move(decided); });
    run(duration{2'000});
    CPPUNIT_ASSERT(outcome.has_value());
    return *outcome;
  }
  const platform::key_value* value_of(const std::string& key) {
    const auto at = store.content().find(platform_key("w", key));
    return at == store.content().end() ? nullptr : &at->second;
  }
};

template <class Alternative>
const Alternative& expect(const claim_outcome& outcome) {
  CPPUNIT_ASSERT(std::holds_alternative<Alternative>(outcome));
  return std::get<Alternative>(outcome);
}

void settle(fixture& env, const std::function<void(claim_service::stored_callback)>& call) {
  bool stored = false;
  call([&](bool result) { stored = result; });
  env.run(duration{2'500});
  CPPUNIT_ASSERT(stored);
}

TEST_THAT(claim_service, gives_a_retry_at_another_router_the_recorded_answer_byte_for_byte) {
  fixture env;
  claim_service& first = env.add("a");
  claim_service& second = env.add("b");
  const claim_token token = expect<owned>(env.decide(first, "k")).token;
  CPPUNIT_ASSERT(first.begin_dispatch(token));
  const std::string body("\x00\xff\xc3\x28 naloga", 11);
  settle(env, [&](auto done) { first.record(token, {201, "text/plain", body}, done); });
  const claim_outcome outcome = env.decide(second, "k");
  CPPUNIT_ASSERT_EQUAL(201U, expect<recorded_answer>(outcome).status);
  CPPUNIT_ASSERT(expect<recorded_answer>(outcome).body == body);
}

TEST_THAT(claim_service, reports_a_key_conflict_for_another_body_in_every_state) {
  fixture env;
  claim_service& first = env.add("a");
  claim_service& second = env.add("b");
  const claim_token token = expect<owned>(env.decide(first, "k")).token;
  expect<key_conflict>(env.decide(first, "k", "other"));
  expect<key_conflict>(env.decide(second, "k", "other"));
  settle(env, [&](auto done) { first.release_unsent(token, done); });
  expect<key_conflict>(env.decide(second, "k", "other"));
}

TEST_THAT(claim_service, lets_a_token_dispatch_once_and_never_after_its_release) {
  fixture env;
  claim_service& first = env.add("a");
  claim_service& second = env.add("b");
  const claim_token sent = expect<owned>(env.decide(first, "sent")).token;
  CPPUNIT_ASSERT(first.begin_dispatch(sent));
  CPPUNIT_ASSERT(!first.begin_dispatch(sent));
  bool released = true;
  first.release_unsent(sent, [&](bool stored) { released = stored; });
  env.run(duration{100});
  CPPUNIT_ASSERT(!released);
  CPPUNIT_ASSERT_EQUAL(std::size_t{0}, first.view().owned);
  expect<outcome_unknown>(env.decide(second, "sent"));

  const claim_token unsent = expect<owned>(env.decide(first, "unsent")).token;
  first.release_unsent(unsent, [](bool) {});
  CPPUNIT_ASSERT(!first.begin_dispatch(unsent));
  env.run(duration{100});
  expect<owned>(env.decide(second, "unsent"));
}

TEST_THAT(claim_service, never_releases_the_claims_of_an_earlier_incarnation) {
  fixture env;
  expect<owned>(env.decide(env.add("a1"), "k"));
  env.ports.front()->kill();
  claim_service& restarted = env.add("a2");
  expect<in_progress>(env.decide(restarted, "k"));
  env.run(duration{60'000});
  expect<outcome_unknown>(env.decide(restarted, "k"));
  env.time.advance(duration{400'000'000});
  expect<outcome_unknown>(env.decide(restarted, "k"));
}

TEST_THAT(claim_service, refuses_immediately_during_an_outage_and_recovers_with_one_probe) {
  fixture env;
  claim_service& only = env.add("a");
  env.ports.front()->fault = [](const call_info&) { return call_fault::refused; };
  CPPUNIT_ASSERT(expect<not_run>(env.decide(only, "k")).reason == not_run_reason::platform_down);
  std::optional<claim_outcome> first;
  only.claim({"w", "probe", "b", "r"}, [&](claim_outcome outcome) { first = std::move(outcome); });
  const std::uint64_t commits = only.view().commits;
  std::optional<claim_outcome> immediate;
  only.claim({"w", "other", "b", "r"},
             [&](claim_outcome outcome) { immediate = std::move(outcome); });
  CPPUNIT_ASSERT(immediate.has_value());
  CPPUNIT_ASSERT(expect<not_run>(*immediate).reason == not_run_reason::platform_down);
  CPPUNIT_ASSERT_EQUAL(commits, only.view().commits);
  env.ports.front()->fault = nullptr;
  env.run(duration{1'000});
  expect<owned>(env.decide(only, "k"));
  expect<owned>(env.decide(only, "again"));
}

TEST_THAT(claim_service, accepts_other_claims_after_one_lost_answer) {
  fixture env;
  claim_service& only = env.add("a");
  int calls = 0;
  env.ports.front()->fault = [&](const call_info& info) {
    const bool first = info.kind == call_kind::transact && calls++ == 0;
    return first ? call_fault::answer_lost : call_fault::none;
  };
  std::optional<claim_outcome> slow;
  only.claim({"w", "slow", "b", "r"}, [&](claim_outcome outcome) { slow = std::move(outcome); });
  env.run(stepped_platform::client_timeout + duration{20});
  expect<owned>(env.decide(only, "other"));
  CPPUNIT_ASSERT(slow.has_value());
  expect<owned>(*slow);
}

TEST_THAT(claim_service, sends_queued_claims_in_one_transaction) {
  fixture env;
  claim_service& only = env.add("a");
  claim_service& other = env.add("b");
  expect<owned>(env.decide(other, "taken"));
  const std::uint64_t before = env.store.transactions();
  int owned_count = 0;
  int others = 0;
  const auto count = [&](const claim_outcome& outcome) {
    (std::holds_alternative<owned>(outcome) ? owned_count : others) += 1;
  };
  only.claim({"w", "one", "b", ""}, count);
  only.claim({"w", "two", "b", ""}, count);
  for (int index = 0; index < 40; ++index) {
    only.claim({"w", "k" + std::to_string(index), "b", ""}, count);
  }
  only.claim({"w", "taken", "b", ""}, count);
  env.run(duration{200});
  CPPUNIT_ASSERT_EQUAL(42, owned_count);
  CPPUNIT_ASSERT_EQUAL(1, others);
  // Two with one claim each, one that fails because of the taken key, one with the other forty.
  CPPUNIT_ASSERT_EQUAL(before + 4, env.store.transactions());
}

TEST_THAT(claim_service, refuses_claims_when_its_table_is_full) {
  fixture env;
  claim_settings settings;
  settings.live_claims = 2;
  claim_service& only = env.add("a", settings);
  const claim_token token = expect<owned>(env.decide(only, "1")).token;
  expect<owned>(env.decide(only, "2"));
  CPPUNIT_ASSERT(expect<not_run>(env.decide(only, "3")).reason == not_run_reason::table_full);
  settle(env, [&](auto done) { only.record(token, {200, "t", "x"}, done); });
  expect<owned>(env.decide(only, "3"));
}

TEST_THAT(claim_service, stores_unsettled_keys_without_a_lease_and_settled_keys_with_one) {
  fixture env;
  claim_service& only = env.add("a");
  const claim_token token = expect<owned>(env.decide(only, "k")).token;
  CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, env.value_of("k")->lease);
  settle(env, [&](auto done) { only.record(token, {200, "t", "x"}, done); });
  CPPUNIT_ASSERT(env.value_of("k")->lease != 0);
}

TEST_THAT(claim_service, records_a_long_answer_as_done_without_its_body) {
  fixture env;
  claim_settings settings;
  settings.recorded_body_limit = 4;
  claim_service& first = env.add("a", settings);
  const claim_token token = expect<owned>(env.decide(first, "k")).token;
  settle(env, [&](auto done) { first.record(token, {200, "t", "12345"}, done); });
  const claim_outcome outcome = env.decide(env.add("b"), "k");
  CPPUNIT_ASSERT(!expect<recorded_answer>(outcome).body_kept);
  CPPUNIT_ASSERT(expect<recorded_answer>(outcome).body.empty());
}

TEST_THAT(claim_service, refuses_new_claims_and_settles_held_ones_after_stop) {
  fixture env;
  claim_service& only = env.add("a");
  const claim_token token = expect<owned>(env.decide(only, "k")).token;
  only.stop();
  CPPUNIT_ASSERT(expect<not_run>(env.decide(only, "new")).reason == not_run_reason::stopping);
  settle(env, [&](auto done) { only.record(token, {200, "t", "x"}, done); });
}

}  // namespace
}  // namespace hawthornnotch::claim
