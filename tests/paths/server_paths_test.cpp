#include "hawthornnotch/paths/server_paths.h"

#include <algorithm>
#include <string>
#include <vector>

#include "hawthornnotch/paths/forwarder_choice.h"
#include "test_case.h"

namespace hawthornnotch::paths {
namespace {

using namespace literals;

constexpr std::string_view service = "forecast";

// The paths of one VM to a number of servers.
class path_fixture {
 public:
  explicit path_fixture(std::size_t count) {
    constexpr std::size_t first = 100;
    for (std::size_t index = 0; index < count; ++index) {
      names_.push_back("s" + std::to_string(first + index));
    }
    for (const std::string& name : names_) {
      listed.push_back({service, name, 1});
    }
  }
  path_change fail(std::size_t index) { return paths.record_failure(listed[index], now); }
  path_change succeed(std::size_t index) { return paths.record_success(listed[index], now); }
  // Makes the due checks for so long; all fail, or all succeed.  \returns their number.
  std::size_t check_for(duration time, bool reachable) {
    constexpr duration tick{100};
    std::size_t checks = 0;
    for (const time_point end = now + time; now < end; now = now + tick) {
      for (const std::string& id : paths.take_due_checks(service, listed, now)) {
        ++checks;
        const server_key server{service, id, 1};
        reachable ? paths.record_success(server, now) : paths.record_failure(server, now);
      }
    }
    return checks;
  }
  server_paths paths;
  std::vector<server_key> listed;
  time_point now{100'000};

 private:
  std::vector<std::string> names_;
};

TEST_THAT(server_paths, are_usable_until_one_fails) {
  path_fixture fixture(18);
  CPPUNIT_ASSERT(fixture.paths.is_usable(fixture.listed[3]));
  CPPUNIT_ASSERT(fixture.fail(3) == path_change::broken);
  CPPUNIT_ASSERT(!fixture.paths.is_usable(fixture.listed[3]));
  CPPUNIT_ASSERT(fixture.paths.is_usable(fixture.listed[4]));
  CPPUNIT_ASSERT(fixture.succeed(3) == path_change::mended);
  CPPUNIT_ASSERT(fixture.paths.is_usable(fixture.listed[3]));
}

TEST_THAT(server_paths, of_a_new_incarnation_are_usable) {
  path_fixture fixture(18);
  fixture.fail(0);
  CPPUNIT_ASSERT(fixture.paths.is_usable({service, fixture.listed[0].server, 2}));
}

TEST_THAT(service, is_cut_off_within_a_second_of_the_first_failure) {
  for (const std::size_t servers : {1U, 2U, 4U, 18U, 295U}) {
    path_fixture fixture(servers);
    fixture.fail(0);
    fixture.check_for(1_s, false);
    CPPUNIT_ASSERT(fixture.paths.is_cut_off(service));
    CPPUNIT_ASSERT(!fixture.paths.is_usable(fixture.listed.back()));
  }
}

TEST_THAT(service, is_not_cut_off_while_one_server_answers) {
  path_fixture fixture(18);
  for (std::size_t index = 0; index < 17; ++index) {
    fixture.fail(index);
    fixture.now = fixture.now + 1_ms;
    fixture.succeed(17);
    fixture.now = fixture.now + 1_ms;
  }
  CPPUNIT_ASSERT(!fixture.paths.is_cut_off(service));
  CPPUNIT_ASSERT(fixture.paths.is_usable(fixture.listed[17]));
}

TEST_THAT(server_paths, are_all_usable_two_seconds_after_the_cut) {
  path_fixture fixture(18);
  for (std::size_t index = 0; index < 18; ++index) {
    fixture.fail(index);
  }
  fixture.check_for(5_s, false);
  fixture.check_for(2_s, true);
  CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fixture.paths.broken_count());
  CPPUNIT_ASSERT(fixture.paths.tracked_services().empty());
}

TEST_THAT(server_paths, need_few_checks_when_one_server_crashed) {
  path_fixture fixture(100);
  fixture.fail(0);
  std::size_t checks = 0;
  for (int tick = 0; tick < 20; ++tick) {
    for (const std::string& id :
         fixture.paths.take_due_checks(service, fixture.listed, fixture.now)) {
      const server_key server{service, id, 1};
      const bool crashed = id == fixture.listed[0].server;
      crashed ? fixture.paths.record_failure(server, fixture.now)
              : fixture.paths.record_success(server, fixture.now);
      checks += crashed ? 0 : 1;
    }
    fixture.now = fixture.now + 100_ms;
  }
  CPPUNIT_ASSERT_LESSEQUAL(std::size_t{3}, checks);
}

TEST_THAT(server_paths, are_not_checked_while_none_broke) {
  path_fixture fixture(18);
  fixture.succeed(0);
  CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fixture.check_for(5_s, false));
  CPPUNIT_ASSERT(fixture.paths.tracked_services().empty());
}

// One VM to all but one of a fleet are cut off; all others are asked at random.
TEST_THAT(forwarder, is_found_while_any_vm_reaches_the_service) {
  for (const std::size_t vms : {2U, 6U, 78U, 295U}) {
    for (const std::size_t cut_off : {std::size_t{1}, vms / 4, vms * 2 / 3, vms - 1}) {
      std::vector<endpoint> alive;
      for (std::size_t vm = 0; vm < vms; ++vm) {
        alive.push_back({"10.0.0.1", static_cast<std::uint16_t>(1 + vm)});
      }
      forwarder_choice choice;
      random_source random(vms + cut_off);
      const time_point now{100'000};
      std::vector<std::size_t> used(vms);
      std::size_t refusals = 0;
      for (int attempt = 0; attempt < 1'000; ++attempt) {
        std::vector<endpoint> asked;
        while (const auto vm = choice.next(service, alive, asked, random, now)) {
          const std::size_t index = vm->port - 1U;
          asked.push_back(*vm);
          if (index >= cut_off) {
            ++used[index];
            break;
          }
          ++refusals;
          choice.record_refusal(service, *vm, now);
        }
      }
      const std::size_t reaching = vms - cut_off;
      CPPUNIT_ASSERT_LESSEQUAL(cut_off, refusals);
      const std::size_t busiest = *std::max_element(used.begin(), used.end());
      CPPUNIT_ASSERT_LESSEQUAL(1'000 / reaching * 2 + 15, busiest);
    }
  }
}

TEST_THAT(forwarder, is_none_where_nobody_reaches_the_service) {
  const std::vector<endpoint> alive = {{"10.0.0.1", 1}, {"10.0.0.1", 2}};
  forwarder_choice choice;
  random_source random(1);
  const time_point now{100'000};
  choice.record_refusal(service, alive[0], now);
  CPPUNIT_ASSERT(choice.has_any(service, alive, now));
  choice.record_refusal(service, alive[1], now);
  CPPUNIT_ASSERT(!choice.has_any(service, alive, now));
  CPPUNIT_ASSERT(choice.has_any("stations", alive, now));
  CPPUNIT_ASSERT(choice.has_any(service, alive, now + 2_s));
}

}  // namespace
}  // namespace hawthornnotch::paths
