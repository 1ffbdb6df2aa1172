#include "hawthornnotch/quarantine/suspect_table.h"

#include <algorithm>
#include <string>
#include <vector>

#include "crashing_fleet.h"
#include "hawthornnotch/base/hash.h"
#include "test_case.h"

namespace hawthornnotch::quarantine {
namespace {

const request_parts with_crashing_part = {part(1), part(9)};
constexpr time_point start{1'000'000};

// Records crashes of `count` servers, a second apart.  \returns the time of the last one.
time_point record_crashes(suspect_table& table, std::uint32_t count,
                          const request_parts& carried = with_crashing_part) {
  time_point now = start;
  for (std::uint32_t server = 1; server <= count; ++server) {
    now = start + duration{1'000} * server;
    table.record_crash(server, carried, now);
  }
  return now;
}

TEST_THAT(suspect_table, quarantines_at_the_fourth_crash) {
  suspect_table table;
  time_point now = record_crashes(table, 3);
  CPPUNIT_ASSERT(!table.find_quarantined(with_crashing_part, {}, now));
  now = record_crashes(table, 4);
  const auto found = table.find_quarantined(with_crashing_part, {}, now);
  CPPUNIT_ASSERT(found && found->what == part(9));
}

TEST_THAT(suspect_table, prefers_a_part_without_a_success) {
  suspect_table table;
  table.record_success(std::vector{part(9)}, start);
  const time_point now = record_crashes(table, 6);
  CPPUNIT_ASSERT(!table.find_quarantined(std::vector{part(9)}, {}, now));
  CPPUNIT_ASSERT(table.find_quarantined(std::vector{part(1)}, {}, now));
}

TEST_THAT(suspect_table, quarantines_a_part_that_was_sound_before_at_the_sixth_crash) {
  suspect_table table;
  table.record_success(with_crashing_part, start);
  time_point now = record_crashes(table, 5);
  CPPUNIT_ASSERT(!table.find_quarantined(with_crashing_part, {}, now));
  now = record_crashes(table, 6);
  CPPUNIT_ASSERT(table.find_quarantined(with_crashing_part, {}, now));
}

TEST_THAT(suspect_table, releases_a_part_at_its_next_success) {
  suspect_table table;
  const time_point now = record_crashes(table, 4);
  table.record_success(std::vector{part(9)}, now + 1_s);
  CPPUNIT_ASSERT(!table.find_quarantined(std::vector{part(9)}, {}, now + 1_s));
}

TEST_THAT(suspect_table, counts_no_crash_before_the_last_success) {
  suspect_table table;
  const std::vector popular{part(5)};
  for (std::uint32_t server = 1; server <= 12; ++server) {
    const time_point now = start + duration{1'000} * server;
    table.record_crash(server, popular, now);
    table.record_success(popular, now + 100_ms);
  }
  CPPUNIT_ASSERT(!table.find_quarantined(popular, {}, start + 13_s));
}

TEST_THAT(suspect_table, counts_crashes_at_one_moment_once) {
  suspect_table table;
  for (std::uint32_t server = 1; server <= 12; ++server) {
    table.record_crash(server, with_crashing_part, start + duration{server});
  }
  CPPUNIT_ASSERT(!table.find_quarantined(with_crashing_part, {}, start + 1_s));
}

TEST_THAT(suspect_table, counts_no_moment_at_which_most_servers_crash_without_the_part) {
  suspect_table table;
  std::uint32_t server = 0;
  for (int wave = 1; wave <= 8; ++wave) {
    const time_point now = start + duration{1'000} * wave;
    table.record_crash(++server, with_crashing_part, now);
    for (std::uint64_t other = 0; other < 4; ++other) {
      ++server;
      table.record_crash(server, std::vector{part(100 + server)}, now);
    }
  }
  CPPUNIT_ASSERT(!table.find_quarantined(with_crashing_part, {}, start + 9_s));
}

TEST_THAT(suspect_table, accuses_no_bystander_of_a_crash_that_is_explained) {
  suspect_table table;
  const request_parts bystander = {part(5)};
  for (std::uint32_t server = 1; server <= 8; ++server) {
    const time_point now = start + duration{1'000} * server;
    table.record_crash(server, with_crashing_part, now);
    if (server > 2) {
      table.record_crash(server, bystander, now);
    }
  }
  CPPUNIT_ASSERT(table.find_quarantined(with_crashing_part, {}, start + 9_s));
  CPPUNIT_ASSERT(!table.find_quarantined(bystander, {}, start + 9_s));
}

// Messages may arrive in any order, more than once.
TEST_THAT(suspect_table, comes_to_the_same_result_in_any_order_of_messages) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    random_source random(seed);
    std::vector<suspect_table> sources(6);
    for (std::uint32_t server = 1; server <= 40; ++server) {
      suspect_table& at = sources[random.below(sources.size())];
      const time_point now = start + duration{static_cast<std::int64_t>(server) * 40};
      at.record_crash(server, std::vector{part(random.below(3)), part(9)}, now);
      if (random.below(3) == 0) {
        at.record_success(std::vector{part(random.below(3))}, now);
      }
    }
    std::vector<suspicion> messages;
    for (suspect_table& each : sources) {
      for (const suspicion& known : each.suspicions_to_gossip(100)) {
        messages.push_back(known);
        messages.push_back(known);
      }
    }
    const time_point now = start + 5_s;
    suspect_table first;
    first.merge(messages, now);
    std::shuffle(messages.begin(), messages.end(), random.engine());
    suspect_table second;
    for (const suspicion& each : messages) {
      second.merge(std::span(&each, 1), now);
    }
    for (std::uint64_t number = 0; number < 10; ++number) {
      const std::vector carried{part(number)};
      CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed),
                                   first.find_quarantined(carried, {}, now).has_value(),
                                   second.find_quarantined(carried, {}, now).has_value());
    }
    CPPUNIT_ASSERT(first.find_quarantined(std::vector{part(9)}, {}, now));
  }
}

TEST_THAT(suspect_table, keeps_a_part_while_requests_with_it_come_and_forgets_it_after) {
  suspect_table table;
  time_point now = record_crashes(table, 4);
  const dispatch::fleet_members not_the_owner{0, {1, 2, 3, 4, 5, 6, 7, 8, 9, 10}};
  for (int minute = 0; minute < 9; ++minute) {
    now = now + 60_s;
    table.merge({}, now);
    CPPUNIT_ASSERT(table.find_quarantined(with_crashing_part, not_the_owner, now));
  }
  now = now + 301_s;
  CPPUNIT_ASSERT(!table.find_quarantined(with_crashing_part, not_the_owner, now));
}

TEST_THAT(suspect_table, lets_one_vm_of_all_try_again_after_ten_minutes) {
  constexpr std::size_t vms = 30;
  std::vector<suspect_table> tables(vms);
  std::size_t sent = 0;
  for (std::size_t vm = 0; vm < vms; ++vm) {
    dispatch::fleet_members members;
    for (std::size_t other = 0; other < vms; ++other) {
      const std::uint64_t hash = stable_hash("entry-" + std::to_string(other));
      if (other == vm) {
        members.self = hash;
      } else {
        members.others.push_back(hash);
      }
    }
    time_point now = record_crashes(tables[vm], 4);
    for (int second = 0; second < 700; ++second) {
      now = now + 1_s;
      sent += tables[vm].find_quarantined(with_crashing_part, members, now) ? 0 : 1;
    }
  }
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sent);
}

TEST_THAT(suspect_table, stays_bounded_and_keeps_what_it_has_quarantined) {
  suspect_table table;
  time_point now = record_crashes(table, 4);
  for (std::uint32_t number = 0; number < 5'000; ++number) {
    now = now + duration{20};
    table.record_crash(1'000 + number, std::vector{part(10'000 + number)}, now);
  }
  CPPUNIT_ASSERT(table.suspect_count() <= 512);
  CPPUNIT_ASSERT(table.find_quarantined(with_crashing_part, {}, now));
}

// The caller has its answer and does not send the request again.
TEST_THAT(suspect_table, gossips_no_single_crash_of_a_request_that_succeeded_since) {
  const fingerprint request{suspect_kind::request, digest_of("order")};
  constexpr std::size_t all = 100;
  suspect_table table;
  table.record_crash(1, std::vector{part(1), request}, start);
  table.record_success(std::vector{part(1), request}, start + 1_s);
  const auto gossiped = table.suspicions_to_gossip(all);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, gossiped.size());
  CPPUNIT_ASSERT(gossiped.front().what == part(1));
  table.record_crash(2, std::vector{request}, start + 2_s);
  CPPUNIT_ASSERT_EQUAL(std::size_t{2}, table.suspicions_to_gossip(all).size());
}

TEST_THAT(suspect_table, believes_no_time_in_the_future) {
  suspect_table table;
  const time_point now = record_crashes(table, 4);
  suspicion forged;
  forged.what = part(9);
  forged.last_seen = now;
  forged.last_success = now + 3'600_s;
  table.merge(std::span(&forged, 1), now);
  for (std::uint32_t server = 10; server < 20; ++server) {
    table.record_crash(server, with_crashing_part, now + duration{1'000} * server);
  }
  CPPUNIT_ASSERT(table.find_quarantined(with_crashing_part, {}, now + 20_s));
}

}  // namespace
}  // namespace hawthornnotch::quarantine
