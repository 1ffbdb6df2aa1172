// Which version a new stream begins at by its attempt's id.
#include "hawthornnotch/streams/version_shares.h"

#include <cstddef>
#include <string>

#include "test_case.h"

namespace hawthornnotch::streams {
namespace {

constexpr int attempts = 2'000;

version_shares make_shares(version_shares::weight_map weights) {
  return *version_shares::create(std::move(weights));
}

std::string attempt(int number) { return "attempt-" + std::to_string(number); }

TEST_THAT(version_shares, give_each_version_its_part) {
  const version_shares shares = make_shares({{"v1", 3}, {"v2", 1}});
  int at_v2 = 0;
  for (int number = 0; number < attempts; ++number) {
    at_v2 += shares.version_for(attempt(number)) == "v2" ? 1 : 0;
  }
  CPPUNIT_ASSERT(at_v2 > attempts / 5 && at_v2 < attempts * 3 / 10);
}

// VMs that learn of a server one after the other differ only in the ids of that step.
TEST_THAT(version_shares, move_ids_one_way_as_a_version_grows) {
  const version_shares before = make_shares({{"v1", 5}, {"v2", 3}});
  const version_shares after = make_shares({{"v1", 4}, {"v2", 4}});
  int moved = 0;
  for (int number = 0; number < attempts; ++number) {
    const std::string id = attempt(number);
    const bool same = before.version_for(id) == after.version_for(id);
    CPPUNIT_ASSERT(same || after.version_for(id) == "v2");
    moved += same ? 0 : 1;
  }
  CPPUNIT_ASSERT(moved > attempts / 12 && moved < attempts / 6);
}

// Other builds and machines have to name the same version.
TEST_THAT(version_shares, name_the_same_version_everywhere) {
  const version_shares shares = make_shares({{"v1", 4}, {"v2", 4}});
  std::string versions;
  for (const char* id : {"a0", "a1", "a2", "a3", "a4", "a5", "a6", "a7"}) {
    versions += shares.version_for(id).back();
  }
  CPPUNIT_ASSERT_EQUAL(std::string("12221111"), versions);
}

TEST_THAT(version_shares, give_nothing_to_a_version_without_weight) {
  const version_shares shares = make_shares({{"v0", 0}, {"v1", 1}, {"v2", 0}});
  for (int number = 0; number < attempts; ++number) {
    CPPUNIT_ASSERT_EQUAL(std::string("v1"), shares.version_for(attempt(number)));
  }
}

TEST_THAT(version_shares, are_refused_without_weight_or_with_too_much) {
  CPPUNIT_ASSERT(version_shares::create({}).last_reason() == shares_failure::no_weight);
  CPPUNIT_ASSERT(version_shares::create({{"v1", 0}}).last_reason() == shares_failure::no_weight);
  CPPUNIT_ASSERT(version_shares::create({{"v1", 1'000'000}, {"v2", 1}}).last_reason() ==
                 shares_failure::too_large);
}

}  // namespace
}  // namespace hawthornnotch::streams
