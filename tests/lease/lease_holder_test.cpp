#include "hawthornnotch/lease/lease_holder.h"

#include "fake_platform.h"
#include "test_case.h"

namespace hawthornnotch::lease {
namespace {

using namespace literals;

struct bench {
  stepped_clock time;
  fake_platform platform{time};

  std::unique_ptr<lease_holder> holder(const std::string& vm) {
    lease_settings settings;
    settings.failure_domain = "zg-istok";
    settings.holder = vm;
    return lease_holder::create(platform, time, settings);
  }
  void step(lease_holder& holder) {
    holder.step(true);
    platform.deliver();
  }
};

TEST_THAT(lease_holder, gives_each_term_a_higher_number) {
  bench run;
  const auto first = run.holder("vm-1");
  run.step(*first);
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, first->fencing().value_or(0));
  const auto second = run.holder("vm-2");
  run.step(*second);
  CPPUNIT_ASSERT(!second->fencing());
  CPPUNIT_ASSERT_EQUAL(std::string("vm-1"), second->status().last_seen_holder);
  first->release();
  run.platform.deliver();
  run.time.advance(5_s);
  run.step(*second);
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, second->fencing().value_or(0));
  CPPUNIT_ASSERT(!first->fencing());
}

TEST_THAT(lease_holder, renews_at_a_third_and_keeps_its_number) {
  bench run;
  const auto holder = run.holder("vm-1");
  run.step(*holder);
  const int calls = run.platform.calls();
  for (int second = 0; second < 60; ++second) {
    run.time.advance(1_s);
    run.step(*holder);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, holder->fencing().value_or(0));
  }
  CPPUNIT_ASSERT_EQUAL(calls + 15, run.platform.calls());
}

TEST_THAT(lease_holder, stops_acting_before_another_can_start_with_the_platform_cut_off) {
  bench run;
  const auto first = run.holder("vm-1");
  const auto second = run.holder("vm-2");
  run.step(*first);
  for (int second_count = 0; second_count < 40; ++second_count) {
    run.time.advance(500_ms);
    // The first's calls no longer reach the platform; the second's do.
    run.platform.fail_call(run.platform.calls(), fake_platform::fault::request_lost, true);
    run.step(*first);
    run.platform.recover();
    run.step(*second);
    CPPUNIT_ASSERT(!(first->fencing() && second->fencing()));
  }
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, second->fencing().value_or(0));
}

TEST_THAT(lease_holder, does_not_act_after_a_pause_longer_than_the_lease) {
  bench run;
  const auto first = run.holder("vm-1");
  run.step(*first);
  run.time.advance(60_s);
  CPPUNIT_ASSERT(!first->fencing());
  const auto second = run.holder("vm-2");
  run.step(*second);
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, second->fencing().value_or(0));
  run.step(*first);
  CPPUNIT_ASSERT(!first->fencing());
}

TEST_THAT(lease_holder, gives_up_a_lease_won_during_a_pause) {
  // The pause falls before each answer of the acquisition in turn.
  for (std::size_t paused_before = 0; paused_before < 4; ++paused_before) {
    bench run;
    const auto holder = run.holder("vm-1");
    holder->step(true);
    for (std::size_t answer = 0; answer < paused_before; ++answer) {
      run.platform.deliver_one();
    }
    run.time.advance(60_s);
    run.platform.deliver();
    const bool granted_before_pause = paused_before >= 2;
    CPPUNIT_ASSERT_EQUAL(!granted_before_pause, holder->fencing().has_value());
    CPPUNIT_ASSERT_EQUAL(!granted_before_pause, holder->status().phase == lease_phase::holding);
  }
}

TEST_THAT(lease_holder, never_uses_a_number_whose_answer_was_lost_and_recovers) {
  constexpr int acquisition_calls = 4;
  for (const auto fault : {fake_platform::fault::request_lost, fake_platform::fault::answer_lost}) {
    for (int call = 0; call < acquisition_calls; ++call) {
      bench run;
      const auto holder = run.holder("vm-1");
      run.platform.fail_call(call, fault);
      run.step(*holder);
      CPPUNIT_ASSERT(!holder->fencing());
      for (int second = 0; second < 30 && !holder->fencing(); ++second) {
        run.time.advance(1_s);
        run.step(*holder);
      }
      CPPUNIT_ASSERT(holder->fencing());
      CPPUNIT_ASSERT_EQUAL(std::to_string(*holder->fencing()),
                           run.platform.value("hn/fence/zg-istok"));
    }
  }
}

TEST_THAT(lease_holder, lets_only_one_of_two_racing_holders_win) {
  bench run;
  const auto first = run.holder("vm-1");
  const auto second = run.holder("vm-2");
  first->step(true);
  second->step(true);
  run.platform.deliver();
  CPPUNIT_ASSERT(first->fencing().has_value() != second->fencing().has_value());
}

TEST_THAT(lease_holder, drops_answers_that_arrive_after_it_is_gone) {
  bench run;
  auto holder = run.holder("vm-1");
  holder->step(true);
  holder.reset();
  run.platform.deliver();
  CPPUNIT_ASSERT_EQUAL(std::string(), run.platform.value("hn/lease/zg-istok"));
}

}  // namespace
}  // namespace hawthornnotch::lease
