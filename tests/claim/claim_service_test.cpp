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

struct bench {
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
      for (const auto& one : services) {
        one->tick();
      }
    }
  }
  verdict decide(claim_service& at, const std::string& key, const std::string& body = "b") {
    std::optional<verdict> seen;
    at.claim({"w", key, body, "r"}, [&](verdict what) { seen = std::move(what); });
    run(duration{2'000});
    CPPUNIT_ASSERT(seen.has_value());
    return *seen;
  }
  const platform::key_value* value_of(const std::string& key) {
    const auto at = store.content().find(platform_key("w", key));
    return at == store.content().end() ? nullptr : &at->second;
  }
};

template <class Verdict>
const Verdict& expect(const verdict& seen) {
  CPPUNIT_ASSERT(std::holds_alternative<Verdict>(seen));
  return std::get<Verdict>(seen);
}

void settle(bench& on, const std::function<void(claim_service::stored_callback)>& call) {
  bool stored = false;
  call([&](bool how) { stored = how; });
  on.run(duration{2'500});
  CPPUNIT_ASSERT(stored);
}

TEST_THAT(claim_service, gives_a_retry_at_another_router_the_recorded_answer_byte_for_byte) {
  bench on;
  claim_service& first = on.add("a");
  claim_service& second = on.add("b");
  const claim_token token = expect<owned>(on.decide(first, "k")).token;
  CPPUNIT_ASSERT(first.begin_dispatch(token));
  const std::string body("\x00\xff\xc3\x28 naloga", 11);
  settle(on, [&](auto done) { first.record(token, {201, "text/plain", body}, done); });
  const verdict seen = on.decide(second, "k");
  CPPUNIT_ASSERT_EQUAL(201U, expect<recorded>(seen).status);
  CPPUNIT_ASSERT(expect<recorded>(seen).body == body);
}

TEST_THAT(claim_service, tells_a_key_conflict_for_another_body_in_every_state) {
  bench on;
  claim_service& first = on.add("a");
  claim_service& second = on.add("b");
  const claim_token token = expect<owned>(on.decide(first, "k")).token;
  expect<key_conflict>(on.decide(first, "k", "other"));
  expect<key_conflict>(on.decide(second, "k", "other"));
  settle(on, [&](auto done) { first.release_unsent(token, done); });
  expect<key_conflict>(on.decide(second, "k", "other"));
}

TEST_THAT(claim_service, lets_a_token_dispatch_once_and_never_after_its_release) {
  bench on;
  claim_service& first = on.add("a");
  claim_service& second = on.add("b");
  const claim_token sent = expect<owned>(on.decide(first, "sent")).token;
  CPPUNIT_ASSERT(first.begin_dispatch(sent));
  CPPUNIT_ASSERT(!first.begin_dispatch(sent));
  bool released = true;
  first.release_unsent(sent, [&](bool stored) { released = stored; });
  on.run(duration{100});
  CPPUNIT_ASSERT(!released);
  CPPUNIT_ASSERT_EQUAL(std::size_t{0}, first.view().owned);
  expect<outcome_unknown>(on.decide(second, "sent"));

  const claim_token unsent = expect<owned>(on.decide(first, "unsent")).token;
  first.release_unsent(unsent, [](bool) {});
  CPPUNIT_ASSERT(!first.begin_dispatch(unsent));
  on.run(duration{100});
  expect<owned>(on.decide(second, "unsent"));
}

TEST_THAT(claim_service, keeps_the_claims_of_an_earlier_incarnation_unknown_for_ever) {
  bench on;
  expect<owned>(on.decide(on.add("a1"), "k"));
  on.ports.front()->kill();
  claim_service& restarted = on.add("a2");
  expect<in_progress>(on.decide(restarted, "k"));
  on.run(duration{60'000});
  expect<outcome_unknown>(on.decide(restarted, "k"));
  on.time.advance(duration{400'000'000});
  expect<outcome_unknown>(on.decide(restarted, "k"));
}

TEST_THAT(claim_service, refuses_at_once_in_an_outage_and_recovers_with_one_probe) {
  bench on;
  claim_service& only = on.add("a");
  on.ports.front()->fault = [](const call_info&) { return call_fault::refused; };
  CPPUNIT_ASSERT(expect<not_run>(on.decide(only, "k")).why == not_run_reason::platform_down);
  std::optional<verdict> first;
  only.claim({"w", "probe", "b", "r"}, [&](verdict what) { first = std::move(what); });
  const std::uint64_t commits = only.view().commits;
  std::optional<verdict> at_once;
  only.claim({"w", "other", "b", "r"}, [&](verdict what) { at_once = std::move(what); });
  CPPUNIT_ASSERT(at_once.has_value());
  CPPUNIT_ASSERT(expect<not_run>(*at_once).why == not_run_reason::platform_down);
  CPPUNIT_ASSERT_EQUAL(commits, only.view().commits);
  on.ports.front()->fault = nullptr;
  on.run(duration{1'000});
  expect<owned>(on.decide(only, "k"));
  expect<owned>(on.decide(only, "again"));
}

TEST_THAT(claim_service, refuses_nobody_else_because_one_answer_was_lost) {
  bench on;
  claim_service& only = on.add("a");
  int calls = 0;
  on.ports.front()->fault = [&](const call_info& info) {
    const bool first = info.kind == call_kind::transact && calls++ == 0;
    return first ? call_fault::answer_lost : call_fault::none;
  };
  std::optional<verdict> slow;
  only.claim({"w", "slow", "b", "r"}, [&](verdict what) { slow = std::move(what); });
  on.run(stepped_platform::client_timeout + duration{20});
  expect<owned>(on.decide(only, "other"));
  CPPUNIT_ASSERT(slow.has_value());
  expect<owned>(*slow);
}

TEST_THAT(claim_service, sends_claims_that_wait_together_as_one_transaction) {
  bench on;
  claim_service& only = on.add("a");
  claim_service& other = on.add("b");
  expect<owned>(on.decide(other, "taken"));
  const std::uint64_t before = on.store.transactions();
  int owned_count = 0;
  int others = 0;
  const auto count = [&](const verdict& seen) {
    (std::holds_alternative<owned>(seen) ? owned_count : others) += 1;
  };
  only.claim({"w", "one", "b", ""}, count);
  only.claim({"w", "two", "b", ""}, count);
  for (int index = 0; index < 40; ++index) {
    only.claim({"w", "k" + std::to_string(index), "b", ""}, count);
  }
  only.claim({"w", "taken", "b", ""}, count);
  on.run(duration{200});
  CPPUNIT_ASSERT_EQUAL(42, owned_count);
  CPPUNIT_ASSERT_EQUAL(1, others);
  // Two alone, one refused because of the taken key, one with the other forty.
  CPPUNIT_ASSERT_EQUAL(before + 4, on.store.transactions());
}

TEST_THAT(claim_service, refuses_when_its_table_is_full_instead_of_forgetting) {
  bench on;
  claim_settings settings;
  settings.live_claims = 2;
  claim_service& only = on.add("a", settings);
  const claim_token token = expect<owned>(on.decide(only, "1")).token;
  expect<owned>(on.decide(only, "2"));
  CPPUNIT_ASSERT(expect<not_run>(on.decide(only, "3")).why == not_run_reason::table_full);
  settle(on, [&](auto done) { only.record(token, {200, "t", "x"}, done); });
  expect<owned>(on.decide(only, "3"));
}

TEST_THAT(claim_service, keeps_unsettled_keys_without_end_and_settled_ones_on_a_lease) {
  bench on;
  claim_service& only = on.add("a");
  const claim_token token = expect<owned>(on.decide(only, "k")).token;
  CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, on.value_of("k")->lease);
  settle(on, [&](auto done) { only.record(token, {200, "t", "x"}, done); });
  CPPUNIT_ASSERT(on.value_of("k")->lease != 0);
}

TEST_THAT(claim_service, records_a_long_answer_as_done_without_its_body) {
  bench on;
  claim_settings settings;
  settings.recorded_body_limit = 4;
  claim_service& first = on.add("a", settings);
  const claim_token token = expect<owned>(on.decide(first, "k")).token;
  settle(on, [&](auto done) { first.record(token, {200, "t", "12345"}, done); });
  const verdict seen = on.decide(on.add("b"), "k");
  CPPUNIT_ASSERT(!expect<recorded>(seen).body_kept);
  CPPUNIT_ASSERT(expect<recorded>(seen).body.empty());
}

TEST_THAT(claim_service, refuses_new_claims_once_stopping_and_settles_held_ones) {
  bench on;
  claim_service& only = on.add("a");
  const claim_token token = expect<owned>(on.decide(only, "k")).token;
  only.stop();
  CPPUNIT_ASSERT(expect<not_run>(on.decide(only, "new")).why == not_run_reason::stopping);
  settle(on, [&](auto done) { only.record(token, {200, "t", "x"}, done); });
}

}  // namespace
}  // namespace hawthornnotch::claim
