// The platform's store comes back from an older copy: revisions go back and are given out again.
#include <algorithm>

#include "hawthornnotch/net/deflate.h"
#include "hawthornnotch/relay/exchange.h"
#include "listening_peer.h"
#include "test_case.h"
#include "world.h"

namespace hawthornnotch::test {
namespace {

// Raises the store's revision without changing anything that matters.
void make_history(fake_store& store) {
  constexpr int changes = 50;
  for (int change = 0; change < changes; ++change) {
    store.put("other/key", std::to_string(change));
  }
}

TEST_THAT(store_restore, does_not_hide_a_server_that_leaves_after_it) {
  gateway_world world;
  fake_server& leaving = world.add_server("s1", "stations", answer_whole);
  world.add_server("s2", "stations", answer_slowly);
  world.start();
  const fake_store::copy older = world.store().take_copy();
  make_history(world.store());
  fake_server& late = world.add_server("s3", "stations", answer_whole);
  world.await([&] {
    world.read_often(1);
    return !late.received().empty();
  });
  world.store().restore(older);
  world.list(late, "stations", true);
  world.list(leaving, "stations", true);
  world.await_no_work(leaving);
}

TEST_THAT(store_restore, gives_no_work_to_a_server_that_the_copy_says_does_not_leave) {
  gateway_world world;
  fake_server& leaving = world.add_server("s1", "stations", answer_whole);
  fake_server& other = world.add_server("s2", "stations", answer_slowly);
  world.start();
  const fake_store::copy older = world.store().take_copy();
  world.list(leaving, "stations", true);
  world.await_no_work(leaving);
  const std::size_t before = leaving.received().size();
  world.store().restore(older);
  fake_server& fresh = world.add_server("s3", "stations", answer_whole);
  world.await([&] {
    world.read_often(1);
    return !fresh.received().empty();
  });
  world.read_often(20);
  CPPUNIT_ASSERT_EQUAL(before, leaving.received().size());
  CPPUNIT_ASSERT(!other.received().empty());
}

TEST_THAT(store_restore, brings_back_neither_an_older_configuration_nor_a_revoked_key) {
  gateway_world world;
  world.add_server("s1", "stations", answer_whole);
  world.start();
  const fake_store::copy older = world.store().take_copy();
  make_history(world.store());
  world.store().put("op/config", usual_config(7, "new-key"));
  world.await([&] { return world.must_answer(make_request("GET", "/read/", "r1")).status == 401; });
  world.store().restore(older);
  world.await([&] { return world.metric("hawthornnotch_store_era") == 2.0; });
  CPPUNIT_ASSERT_EQUAL(401U, world.must_answer(make_request("GET", "/read/", "r2")).status);
  world.store().put("op/config", usual_config(8, "newer-key"));
  world.await([&] {
    http_request request = make_request("GET", "/read/", "r3");
    request.headers.back().second = "Bearer newer-key";
    return world.must_answer(std::move(request)).status == 200;
  });
}

// The watch's revision is above all that the store has, and it may wait instead of failing.
TEST_THAT(store_restore, ends_a_watch_behind_the_revisions_of_the_older_era) {
  gateway_world world;
  world.add_server("s1", "stations", answer_whole);
  world.start();
  const fake_store::copy older = world.store().take_copy();
  make_history(world.store());
  world.store().put("op/config", usual_config(2));
  world.await([&] { return world.metric("hawthornnotch_config_version") == 2.0; });
  world.store().wait_for_lost_history(true);
  world.store().restore(older);
  world.store().put("op/config", usual_config(3));
  world.await([&] { return world.metric("hawthornnotch_config_version") == 3.0; });
}

TEST_THAT(store_restore, confirms_no_configuration_of_the_copy_until_the_newer_one_is_back) {
  loopback around;
  listening_peer peer(around);
  gateway_world world;
  world.add_server("s1", "stations", answer_whole);
  world.start({peer.address()});
  const fake_store::copy older = world.store().take_copy();
  world.store().put("op/config", usual_config(7));
  world.await([&] { return peer.heard().back().config_version == 7; });
  world.store().restore(older);
  world.await([&] { return peer.heard().back().list_version.era == 2; });
  // Twenty exchanges last longer than several calls to the store.
  const std::size_t before = peer.heard().size();
  world.await([&] { return peer.heard().size() >= before + 20; });
  for (const relay::exchange_message& message : peer.heard()) {
    CPPUNIT_ASSERT(message.config_version != 7 || message.config_seen.era < 2);
  }
  world.store().put("op/config", usual_config(7));
  world.await([&] { return peer.heard().back().config_seen.era == 2; });
}

// The lease's number may belong to another VM by then.
TEST_THAT(store_restore, makes_an_entry_vm_write_its_entry_under_a_new_lease) {
  gateway_world world;
  world.add_server("s1", "stations", answer_whole);
  const fake_store::copy older = world.store().take_copy();
  world.start();
  const std::string key = "hn/entry/entry-1";
  world.await([&] { return world.store().find(key).has_value(); });
  world.store().restore(older);
  const std::int64_t of_another = world.store().grant_lease();
  world.await([&] { return world.store().find(key).has_value(); });
  CPPUNIT_ASSERT(world.store().find(key)->lease > of_another);
}

TEST_THAT(store_restore, is_heard_of_from_a_peer_where_the_store_is_out_of_reach) {
  gateway_world first;
  fake_server& leaving = first.add_server("s1", "stations", answer_whole);
  fake_server& other = first.add_server("s2", "stations", answer_slowly);
  const fake_store::copy older = first.store().take_copy();
  make_history(first.store());
  first.start();
  gateway_world second;
  second.store().set_away(true);
  second.start({first.peers()});
  second.read_often(1);
  first.store().restore(older);
  first.list(other, "stations");
  first.list(leaving, "stations", true);
  second.await_no_work(leaving);
  CPPUNIT_ASSERT(second.metric("hawthornnotch_store_era") == 2.0);
}

TEST_THAT(store_restore, may_come_twice_within_seconds) {
  gateway_world world;
  fake_server& leaving = world.add_server("s1", "stations", answer_whole);
  world.add_server("s2", "stations", answer_slowly);
  world.start();
  const fake_store::copy older = world.store().take_copy();
  make_history(world.store());
  world.read_often(1);
  world.store().restore(older);
  make_history(world.store());
  world.store().restore(older);
  world.list(leaving, "stations", true);
  world.await_no_work(leaving);
  world.store().put("op/config", usual_config(2));
  world.await([&] { return world.metric("hawthornnotch_config_version") == 2.0; });
}

TEST_THAT(store_restore, may_come_while_a_process_starts) {
  gateway_world world;
  world.add_server("s1", "stations", answer_whole);
  const fake_store::copy older = world.store().take_copy();
  make_history(world.store());
  world.start_before_the_store();
  world.await([&] { return world.metric("hawthornnotch_store_era") == 1.0; });
  world.store().restore(older);
  world.store().set_away(false);
  world.await([&] { return world.readiness() == 200; });
  world.read_often(1);
  CPPUNIT_ASSERT(world.metric("hawthornnotch_store_era") == 2.0);
}

TEST_THAT(store_restore, is_not_assumed_where_the_store_does_not_name_its_era) {
  gateway_world world;
  fake_server& leaving = world.add_server("s1", "stations", answer_whole);
  world.add_server("s2", "stations", answer_slowly);
  world.store().hide_era();
  world.start();
  world.list(leaving, "stations", true);
  world.await_no_work(leaving);
  world.store().put("op/config", usual_config(2));
  world.await([&] { return world.metric("hawthornnotch_config_version") == 2.0; });
  CPPUNIT_ASSERT(world.metric("hawthornnotch_store_era") == 0.0);
}

}  // namespace
}  // namespace hawthornnotch::test
