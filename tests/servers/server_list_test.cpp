#include "hawthornnotch/servers/server_list.h"

#include "test_case.h"

namespace hawthornnotch::servers {
namespace {

using namespace literals;

server_entry make_entry(std::string id, std::int64_t start_time_ms = 1) {
  server_entry entry;
  entry.id = std::move(id);
  entry.start_time_ms = start_time_ms;
  entry.service = "forecast";
  entry.address = {"10.0.0.1", 80};
  return entry;
}

class list_case {
 public:
  // Reads the list `after` the reading before.
  list_change read(std::vector<server_entry> entries, duration after = 500_ms) {
    now_ = now_ + after;
    return list.apply({++id_, {era_, ++revision_}, now_, std::move(entries)}, now_);
  }
  // The store comes back as it was at an earlier revision.
  void restore() {
    ++era_;
    revision_ = 5;
  }
  void wait(duration span) { now_ = now_ + span; }
  [[nodiscard]] time_point now() const { return now_; }
  [[nodiscard]] std::size_t serving() const { return list.serving("forecast").size(); }
  server_list list{server_list_settings{}};

 private:
  time_point now_{1'000'000};
  std::int64_t era_ = 1;
  std::int64_t revision_ = 10;
  std::uint64_t id_ = 0;
};

TEST_THAT(server_list, gives_no_work_to_a_server_that_leaves_and_never_again_in_that_start) {
  list_case test;
  test.read({make_entry("a"), make_entry("b")});
  server_entry leaving = make_entry("a");
  leaving.leaving = true;
  const list_change change = test.read({leaving, make_entry("b")});
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, change.leaving.size());
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, test.serving());
  test.read({make_entry("a"), make_entry("b")});
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, test.serving());
}

TEST_THAT(server_list, takes_a_new_start_under_the_same_id_as_a_new_server) {
  list_case test;
  server_entry leaving = make_entry("a", 1);
  leaving.leaving = true;
  test.read({leaving});
  CPPUNIT_ASSERT_EQUAL(std::size_t{0}, test.serving());
  const list_change change = test.read({make_entry("a", 2)});
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, change.added.size());
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, test.serving());
}

TEST_THAT(server_list, drops_a_missing_entry_at_once_while_the_store_is_there) {
  list_case test;
  test.read({make_entry("a"), make_entry("b")});
  const list_change change = test.read({make_entry("b")});
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, change.removed.size());
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, test.serving());
}

TEST_THAT(server_list, keeps_entries_that_lapsed_in_an_outage_until_they_can_be_back) {
  list_case test;
  test.read({make_entry("a"), make_entry("b")});
  test.read({}, 5_s);
  CPPUNIT_ASSERT_EQUAL(std::size_t{2}, test.serving());
  test.read({make_entry("b")}, 1_s);
  CPPUNIT_ASSERT_EQUAL(std::size_t{2}, test.serving());
  test.read({make_entry("b")}, 1_s + 100_ms);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, test.serving());
}

TEST_THAT(server_list, ignores_a_reading_older_than_what_it_knows) {
  list_case test;
  test.read({make_entry("a"), make_entry("b")});
  const list_change change =
      test.list.apply({3, {1, 3}, {1'000'000}, {make_entry("a")}}, {1'000'500});
  CPPUNIT_ASSERT(change.empty());
  CPPUNIT_ASSERT_EQUAL(std::size_t{2}, test.serving());
}

// Each entry VM that passes a reading on loses the time that the message took, so a copy that has
// gone round looks younger than the reading is.
TEST_THAT(server_list, does_not_take_a_copy_of_a_reading_for_a_later_one) {
  server_list list{server_list_settings{}};
  const list_snapshot read{7, {1, 10}, {1'000'000}, {make_entry("a")}};
  list.apply(read, {1'000'000});
  list_snapshot copy = read;
  copy.read_at = {1'000'300};
  list.apply(copy, {1'000'900});
  CPPUNIT_ASSERT(list.age({1'001'000}) == 1_s);
  copy.read_at = {999'900};
  list.apply(copy, {1'001'000});
  CPPUNIT_ASSERT(list.age({1'001'000}) == 1_s + 100_ms);
  list_snapshot later = read;
  later.id = 8;
  later.read_at = {1'001'000};
  list.apply(later, {1'001'000});
  CPPUNIT_ASSERT(list.age({1'001'000}) == 0_ms);
}

// After a restore of the store.

TEST_THAT(restored_list, counts_as_newer_though_its_revision_is_lower) {
  list_case test;
  test.read({make_entry("a"), make_entry("b")});
  test.restore();
  server_entry leaving = make_entry("a");
  leaving.leaving = true;
  test.read({leaving, make_entry("b")});
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, test.serving());
}

TEST_THAT(restored_list, makes_late_readings_of_the_older_era_worthless) {
  list_case test;
  test.read({make_entry("a")});
  test.restore();
  test.read({make_entry("a"), make_entry("b")});
  const list_snapshot late{99, {1, 9'000}, test.now(), {}};
  CPPUNIT_ASSERT(test.list.apply(late, test.now()).empty());
  CPPUNIT_ASSERT_EQUAL(std::size_t{2}, test.serving());
}

TEST_THAT(restored_list, keeps_what_the_copy_lacks_for_two_seconds) {
  list_case test;
  test.read({make_entry("a"), make_entry("b")});
  test.restore();
  test.read({make_entry("a")});
  CPPUNIT_ASSERT_EQUAL(std::size_t{2}, test.serving());
  test.read({make_entry("a")}, 1'900_ms);
  CPPUNIT_ASSERT_EQUAL(std::size_t{2}, test.serving());
  test.read({make_entry("a")}, 200_ms);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, test.serving());
}

TEST_THAT(restored_list, does_not_take_back_that_a_server_leaves) {
  list_case test;
  server_entry leaving = make_entry("a");
  leaving.leaving = true;
  test.read({leaving, make_entry("b")});
  test.read({make_entry("b")});
  test.restore();
  test.read({make_entry("a"), make_entry("b")});
  test.read({make_entry("a"), make_entry("b")}, 60'000_ms);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, test.serving());
}

TEST_THAT(restored_list,
          gives_no_work_to_a_server_that_had_gone_until_its_entry_outlives_the_silent) {
  list_case test;
  test.read({make_entry("a"), make_entry("b")});
  test.read({make_entry("b")});
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, test.serving());
  test.restore();
  test.read({make_entry("a"), make_entry("b")});
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, test.serving());
  test.read({make_entry("a"), make_entry("b")}, 4'900_ms);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, test.serving());
  test.read({make_entry("a"), make_entry("b")}, 200_ms);
  CPPUNIT_ASSERT_EQUAL(std::size_t{2}, test.serving());
}

TEST_THAT(restored_list, uses_servers_that_had_gone_where_a_service_has_no_others) {
  list_case test;
  test.read({make_entry("a")});
  test.read({});
  test.restore();
  test.read({make_entry("a")});
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, test.serving());
}

TEST_THAT(restored_list, trusts_an_entry_that_comes_back_within_one_era) {
  list_case test;
  test.read({make_entry("a"), make_entry("b")});
  test.read({make_entry("b")});
  test.read({make_entry("a"), make_entry("b")});
  CPPUNIT_ASSERT_EQUAL(std::size_t{2}, test.serving());
}

TEST_THAT(restored_list, may_come_twice_while_a_process_sleeps) {
  list_case test;
  test.read({make_entry("a"), make_entry("b")});
  test.restore();
  test.restore();
  test.read({make_entry("b")}, 30'000_ms);
  CPPUNIT_ASSERT_EQUAL(std::size_t{2}, test.serving());
  test.read({make_entry("b")}, 2'100_ms);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, test.serving());
}

// By its own word.

TEST_THAT(departure, holds_whatever_the_list_says_until_the_next_start) {
  list_case test;
  test.read({make_entry("a"), make_entry("b")});
  CPPUNIT_ASSERT(test.list.mark_leaving("a", 1, 4'000_ms, test.now()));
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, test.serving());
  test.read({make_entry("a"), make_entry("b")});
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, test.serving());
  test.read({make_entry("b")});
  test.read({make_entry("a"), make_entry("b")});
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, test.serving());
  test.read({make_entry("a", 2), make_entry("b")});
  CPPUNIT_ASSERT_EQUAL(std::size_t{2}, test.serving());
}

TEST_THAT(departure, is_known_before_the_list_names_the_server) {
  list_case test;
  CPPUNIT_ASSERT(test.list.mark_leaving("a", 1, 4'000_ms, test.now()));
  test.read({make_entry("a"), make_entry("b")});
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, test.serving());
}

TEST_THAT(departure, of_another_start_says_nothing) {
  list_case test;
  test.read({make_entry("a", 2)});
  test.list.mark_leaving("a", 1, 4'000_ms, test.now());
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, test.serving());
}

TEST_THAT(departure, is_told_for_a_time_that_hearing_it_again_does_not_extend) {
  list_case test;
  test.read({make_entry("a")});
  test.list.mark_leaving("a", 1, 4'000_ms, test.now());
  test.wait(3'000_ms);
  CPPUNIT_ASSERT(!test.list.mark_leaving("a", 1, 4'000_ms, test.now()));
  CPPUNIT_ASSERT_EQUAL(std::int64_t{1'000},
                       test.list.departures_to_gossip(test.now()).at(0).remaining.ms);
  test.wait(1'000_ms);
  CPPUNIT_ASSERT(test.list.departures_to_gossip(test.now()).empty());
}

}  // namespace
}  // namespace hawthornnotch::servers
