#include "hawthornnotch/load/schedule.h"

#include <map>
#include <set>

#include "test_case.h"

namespace hawthornnotch::load {
namespace {

schedule_settings long_run(std::uint64_t seed) { return {seed, {300'000}, 100, 3}; }

TEST_THAT(schedule, equal_seeds_give_equal_schedules_and_others_do_not) {
  CPPUNIT_ASSERT(make_schedule(poledica(), long_run(7)) == make_schedule(poledica(), long_run(7)));
  CPPUNIT_ASSERT(make_schedule(poledica(), long_run(7)) != make_schedule(poledica(), long_run(8)));
}

TEST_THAT(schedule, classes_have_their_share_and_the_burst_its_factor) {
  for (const profile& mix : {poledica(), roundabout()}) {
    std::map<std::size_t, double> quiet;
    std::map<std::size_t, double> burst;
    for (const planned_request& planned : make_schedule(mix, long_run(5))) {
      const bool in_burst = planned.at.ms >= 100'000 && planned.at.ms < 200'000;
      if (!planned.is_repeat) {
        ++(in_burst ? burst : quiet)[planned.kind];
      }
    }
    double shares = 0;
    for (std::size_t index = 0; index < mix.kinds.size(); ++index) {
      const double expected = mix.kinds[index].share * 100 * 200;
      shares += mix.kinds[index].share;
      CPPUNIT_ASSERT_DOUBLES_EQUAL(expected, quiet[index], expected * 0.1);
      const double expected_burst = mix.kinds[index].burst_factor * expected / 2;
      CPPUNIT_ASSERT_DOUBLES_EQUAL(expected_burst, burst[index], expected_burst * 0.1);
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, shares, 1e-9);
  }
}

TEST_THAT(schedule, repeats_go_through_another_router_with_the_number_of_the_first) {
  std::map<std::uint64_t, std::size_t> router_of_first;
  std::size_t repeats = 0;
  for (const planned_request& planned : make_schedule(roundabout(), long_run(3))) {
    if (!planned.is_repeat) {
      CPPUNIT_ASSERT(router_of_first.emplace(planned.number, planned.router).second);
      continue;
    }
    ++repeats;
    CPPUNIT_ASSERT(router_of_first.at(planned.number) != planned.router);
  }
  CPPUNIT_ASSERT(repeats > 0);
}

TEST_THAT(schedule, capacity_counts_prompts_and_slowdown) {
  CPPUNIT_ASSERT_DOUBLES_EQUAL(8 * 100 * 1000 / (100 + 99 * 10.0),
                               capacity_of({8, 100, 10, 0}, 100), 1e-6);
  CPPUNIT_ASSERT_DOUBLES_EQUAL(capacity_of({8, 100, 10, 0}, 100) / 1.7,
                               capacity_of({8, 100, 10, 0.1}, 100), 1e-6);
}

}  // namespace
}  // namespace hawthornnotch::load
