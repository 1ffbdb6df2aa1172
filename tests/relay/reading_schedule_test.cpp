// Store outages, rejections and partitions in fleets of several sizes.
#include "fleet_model.h"
#include "hawthornnotch/relay/store_era.h"
#include "test_case.h"

namespace hawthornnotch::relay {
namespace {

using namespace literals;

constexpr duration convergence_time{6'000};

fleet_model::settings fleet_of(std::size_t vms, reading_kind kind = reading_kind::polled) {
  fleet_model::settings what;
  what.vms = vms;
  what.kind = kind;
  return what;
}

// Calls in the given time, after membership has converged.
std::uint64_t steady_calls(std::size_t vms, reading_kind kind, duration span) {
  fleet_model fleet(fleet_of(vms, kind));
  fleet.run_for(convergence_time);
  const std::uint64_t before = fleet.calls();
  fleet.run_for(span);
  return fleet.calls() - before;
}

// The greatest age of any VM's data within the given time.
duration max_age_within(fleet_model& fleet, duration span) {
  duration oldest;
  for (duration passed; passed < span; passed = passed + 100_ms) {
    fleet.run_for(100_ms);
    oldest = std::max(oldest, fleet.max_data_age().value_or(span));
  }
  return oldest;
}

TEST_THAT(reading_schedule, makes_no_more_calls_in_a_larger_fleet) {
  for (const reading_kind kind : {reading_kind::polled, reading_kind::watched}) {
    const std::uint64_t small = steady_calls(30, kind, 20_s);
    const std::uint64_t large = steady_calls(300, kind, 20_s);
    // The first VM reads at 0.4 of the 4 s bound: 12.5 calls in 20 s.
    CPPUNIT_ASSERT(small >= 10 && small <= 20);
    CPPUNIT_ASSERT(large >= 10 && large <= 26);
  }
}

TEST_THAT(reading_schedule, keeps_the_data_of_every_vm_within_the_maximum_staleness) {
  for (const reading_kind kind : {reading_kind::polled, reading_kind::watched}) {
    fleet_model fleet(fleet_of(300, kind));
    fleet.run_for(convergence_time);
    CPPUNIT_ASSERT(max_age_within(fleet, 10_s) < 4_s);
  }
}

TEST_THAT(reading_schedule, makes_less_than_one_call_per_vm_in_an_outage_and_recovers_promptly) {
  fleet_model fleet(fleet_of(300));
  fleet.run_for(convergence_time);
  const std::uint64_t before = fleet.calls();
  fleet.set_store_unavailable(true);
  fleet.run_for(6_s);
  fleet.set_store_unavailable(false);
  fleet.run_for(3_s);
  CPPUNIT_ASSERT(fleet.calls() - before < 300);
  CPPUNIT_ASSERT(*fleet.max_data_age() < 4_s);
}

TEST_THAT(reading_schedule, starts_a_whole_fleet_with_few_calls) {
  for (const reading_kind kind : {reading_kind::polled, reading_kind::watched}) {
    fleet_model fleet(fleet_of(300, kind));
    fleet.run_for(convergence_time);
    fleet.restart_all();
    const std::uint64_t before = fleet.calls();
    fleet.run_for(1_s);
    CPPUNIT_ASSERT(fleet.max_data_age().has_value());
    fleet.run_for(3_s);
    CPPUNIT_ASSERT(fleet.calls() - before <= 30);
  }
}

TEST_THAT(reading_schedule, lets_a_partitioned_failure_domain_read_on_its_own_behalf) {
  fleet_model fleet(fleet_of(60));
  fleet.run_for(convergence_time);
  const std::size_t first_reader = fleet.first_reader();
  fleet.partition((fleet.domain_of(first_reader) + 1) % 6);
  CPPUNIT_ASSERT(max_age_within(fleet, 10_s) < 4_s);
}

TEST_THAT(reading_schedule, fails_over_when_the_first_reader_is_rejected_or_dead) {
  for (const reading_kind kind : {reading_kind::polled, reading_kind::watched}) {
    fleet_model fleet(fleet_of(60, kind));
    fleet.run_for(convergence_time);
    const std::size_t first_reader = fleet.first_reader();
    fleet.reject_calls([first_reader](std::size_t vm) { return vm == first_reader; });
    CPPUNIT_ASSERT(max_age_within(fleet, 6_s) < 4_s);
    fleet.reject_calls(nullptr);
    fleet.kill(first_reader);
    CPPUNIT_ASSERT(max_age_within(fleet, 8_s) < 4_s);
  }
}

TEST_THAT(reading_schedule, registers_two_vms_of_each_failure_domain) {
  CPPUNIT_ASSERT(registers_in_store({40, 0}));
  CPPUNIT_ASSERT(registers_in_store({40, 1}));
  CPPUNIT_ASSERT(!registers_in_store({40, 2}));
}

TEST_THAT(confirmation, keeps_the_greater_age_when_forwarded) {
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

TEST_THAT(confirmation, of_a_newer_era_wins_despite_a_lower_revision) {
  const time_point now{1'000'000};
  confirmation known{1, {1, 900}, now};
  CPPUNIT_ASSERT(merge_confirmation(known, {2, {2, 50}, now - 300_ms}));
  CPPUNIT_ASSERT(!merge_confirmation(known, {3, {1, 950}, now}));
  CPPUNIT_ASSERT(merge_confirmation(known, {4, {2, 50}, now}));
}

TEST_THAT(store_era, never_decreases) {
  store_era era;
  CPPUNIT_ASSERT(era.observed(0) == era_update::same);
  CPPUNIT_ASSERT(era.observed(3) == era_update::first);
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, era.restores());
  CPPUNIT_ASSERT(era.observed(3) == era_update::same);
  CPPUNIT_ASSERT(era.observed(5) == era_update::advanced);
  CPPUNIT_ASSERT(era.observed(4) == era_update::older);
  CPPUNIT_ASSERT(era.observed(0) == era_update::same);
  CPPUNIT_ASSERT_EQUAL(std::int64_t{5}, era.current());
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, era.restores());
}

}  // namespace
}  // namespace hawthornnotch::relay
