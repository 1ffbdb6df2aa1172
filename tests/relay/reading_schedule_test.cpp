// Replays the store's troubles to fleets of several sizes.
#include "fleet_model.h"
#include "hawthornnotch/relay/store_era.h"
#include "test_case.h"

namespace hawthornnotch::relay {
namespace {

using namespace literals;

constexpr duration settling{6'000};

fleet_model::settings fleet_of(std::size_t vms, reading_kind kind = reading_kind::polled) {
  fleet_model::settings what;
  what.vms = vms;
  what.kind = kind;
  return what;
}

// Calls in the given time, after the fleet has come to know itself.
std::uint64_t steady_calls(std::size_t vms, reading_kind kind, duration span) {
  fleet_model fleet(fleet_of(vms, kind));
  fleet.run_for(settling);
  const std::uint64_t before = fleet.calls();
  fleet.run_for(span);
  return fleet.calls() - before;
}

// The greatest age of any VM's knowledge within the given time.
duration oldest_within(fleet_model& fleet, duration span) {
  duration oldest;
  for (duration passed; passed < span; passed = passed + 100_ms) {
    fleet.run_for(100_ms);
    oldest = std::max(oldest, fleet.greatest_age().value_or(span));
  }
  return oldest;
}

TEST_THAT(reading_schedule, makes_no_more_calls_for_a_larger_fleet) {
  for (const reading_kind kind : {reading_kind::polled, reading_kind::watched}) {
    const std::uint64_t small = steady_calls(30, kind, 20_s);
    const std::uint64_t large = steady_calls(300, kind, 20_s);
    // One call in 0.4 of the bound of 4 s makes 12.5 calls in 20 s.
    CPPUNIT_ASSERT(small >= 10 && small <= 20);
    CPPUNIT_ASSERT(large >= 10 && large <= 26);
  }
}

TEST_THAT(reading_schedule, keeps_knowledge_within_its_bound_at_every_vm) {
  for (const reading_kind kind : {reading_kind::polled, reading_kind::watched}) {
    fleet_model fleet(fleet_of(300, kind));
    fleet.run_for(settling);
    CPPUNIT_ASSERT(oldest_within(fleet, 10_s) < 4_s);
  }
}

TEST_THAT(reading_schedule, makes_less_than_a_call_a_vm_in_an_outage_and_is_up_to_date_soon_after) {
  fleet_model fleet(fleet_of(300));
  fleet.run_for(settling);
  const std::uint64_t before = fleet.calls();
  fleet.set_away(true);
  fleet.run_for(6_s);
  fleet.set_away(false);
  fleet.run_for(3_s);
  CPPUNIT_ASSERT(fleet.calls() - before < 300);
  CPPUNIT_ASSERT(*fleet.greatest_age() < 4_s);
}

TEST_THAT(reading_schedule, starts_a_whole_fleet_with_few_calls) {
  for (const reading_kind kind : {reading_kind::polled, reading_kind::watched}) {
    fleet_model fleet(fleet_of(300, kind));
    fleet.run_for(settling);
    fleet.restart_all();
    const std::uint64_t before = fleet.calls();
    fleet.run_for(1_s);
    CPPUNIT_ASSERT(fleet.greatest_age().has_value());
    fleet.run_for(3_s);
    CPPUNIT_ASSERT(fleet.calls() - before <= 30);
  }
}

TEST_THAT(reading_schedule, lets_a_failure_domain_that_is_cut_off_read_for_itself) {
  fleet_model fleet(fleet_of(60));
  fleet.run_for(settling);
  const std::size_t first = fleet.first();
  fleet.cut_off((fleet.domain_of(first) + 1) % 6);
  CPPUNIT_ASSERT(oldest_within(fleet, 10_s) < 4_s);
}

TEST_THAT(reading_schedule, passes_to_the_next_where_the_store_refuses_or_loses_the_first) {
  for (const reading_kind kind : {reading_kind::polled, reading_kind::watched}) {
    fleet_model fleet(fleet_of(60, kind));
    fleet.run_for(settling);
    const std::size_t first = fleet.first();
    fleet.refuse([first](std::size_t vm) { return vm == first; });
    CPPUNIT_ASSERT(oldest_within(fleet, 6_s) < 4_s);
    fleet.refuse(nullptr);
    fleet.kill(first);
    CPPUNIT_ASSERT(oldest_within(fleet, 8_s) < 4_s);
  }
}

TEST_THAT(reading_schedule, has_two_vms_of_each_failure_domain_keep_an_entry) {
  CPPUNIT_ASSERT(registers_in_store({40, 0}));
  CPPUNIT_ASSERT(registers_in_store({40, 1}));
  CPPUNIT_ASSERT(!registers_in_store({40, 2}));
}

TEST_THAT(confirmation, never_grows_younger_on_its_way) {
  const time_point now{10'000};
  confirmation known;
  CPPUNIT_ASSERT(!merge_confirmation(known, {}));
  CPPUNIT_ASSERT(merge_confirmation(known, {1, {1, 50}, now - 300_ms}));
  CPPUNIT_ASSERT(!merge_confirmation(known, {1, {1, 50}, now}));
  CPPUNIT_ASSERT_EQUAL((now - 300_ms).ms, known.at.ms);
  merge_confirmation(known, {1, {1, 50}, now - 700_ms});
  CPPUNIT_ASSERT_EQUAL((now - 700_ms).ms, known.at.ms);
  CPPUNIT_ASSERT(!merge_confirmation(known, {2, {1, 49}, now}));
  CPPUNIT_ASSERT(merge_confirmation(known, {3, {1, 50}, now}));
}

TEST_THAT(confirmation, of_a_newer_era_wins_though_its_revision_is_lower) {
  const time_point now{1'000'000};
  confirmation known{1, {1, 900}, now};
  CPPUNIT_ASSERT(merge_confirmation(known, {2, {2, 50}, now - 300_ms}));
  CPPUNIT_ASSERT(!merge_confirmation(known, {3, {1, 950}, now}));
  CPPUNIT_ASSERT(merge_confirmation(known, {4, {2, 50}, now}));
}

TEST_THAT(store_era, rises_but_never_goes_back) {
  store_era era;
  CPPUNIT_ASSERT(era.heard(0) == era_update::same);
  CPPUNIT_ASSERT(era.heard(3) == era_update::first);
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, era.restores());
  CPPUNIT_ASSERT(era.heard(3) == era_update::same);
  CPPUNIT_ASSERT(era.heard(5) == era_update::advanced);
  CPPUNIT_ASSERT(era.heard(4) == era_update::older);
  CPPUNIT_ASSERT(era.heard(0) == era_update::same);
  CPPUNIT_ASSERT_EQUAL(std::int64_t{5}, era.current());
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, era.restores());
}

}  // namespace
}  // namespace hawthornnotch::relay
