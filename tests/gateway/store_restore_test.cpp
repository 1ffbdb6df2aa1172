// The platform's store is restored from a backup: revisions go back and are assigned again.
#include <algorithm>

#include "gateway_fixture.h"
#include "hawthornnotch/net/deflate.h"
#include "hawthornnotch/relay/exchange.h"
#include "recording_peer.h"
#include "test_case.h"

namespace hawthornnotch::test {
namespace {

// Raises the store's revision without changing relevant keys.
void advance_revision(fake_store& store) {
  constexpr int changes = 50;
  for (int change = 0; change < changes; ++change) {
    store.put("other/key", std::to_string(change));
  }
}

TEST_THAT(store_restore, does_not_hide_a_server_that_leaves_after_it) {
  gateway_fixture fixture;
  fake_server& leaving = fixture.add_server("s1", "stations", answer_ok);
  fixture.add_server("s2", "stations", answer_slowly);
  fixture.start();
  const fake_store::snapshot older = fixture.store().take_snapshot();
  advance_revision(fixture.store());
  fake_server& late = fixture.add_server("s3", "stations", answer_ok);
  fixture.await([&] {
    fixture.send_reads(1);
    return !late.received().empty();
  });
  fixture.store().restore(older);
  fixture.list(late, "stations", true);
  fixture.list(leaving, "stations", true);
  fixture.await_no_requests(leaving);
}

TEST_THAT(store_restore, sends_nothing_to_a_leaving_server_that_the_snapshot_shows_as_ready) {
  gateway_fixture fixture;
  fake_server& leaving = fixture.add_server("s1", "stations", answer_ok);
  fake_server& other = fixture.add_server("s2", "stations", answer_slowly);
  fixture.start();
  const fake_store::snapshot older = fixture.store().take_snapshot();
  fixture.list(leaving, "stations", true);
  fixture.await_no_requests(leaving);
  const std::size_t before = leaving.received().size();
  fixture.store().restore(older);
  fake_server& fresh = fixture.add_server("s3", "stations", answer_ok);
  fixture.await([&] {
    fixture.send_reads(1);
    return !fresh.received().empty();
  });
  fixture.send_reads(20);
  CPPUNIT_ASSERT_EQUAL(before, leaving.received().size());
  CPPUNIT_ASSERT(!other.received().empty());
}

TEST_THAT(store_restore, brings_back_neither_an_older_configuration_nor_a_revoked_key) {
  gateway_fixture fixture;
  fixture.add_server("s1", "stations", answer_ok);
  fixture.start();
  const fake_store::snapshot older = fixture.store().take_snapshot();
  advance_revision(fixture.store());
  fixture.store().put("op/config", default_config(7, "new-key"));
  fixture.await(
      [&] { return fixture.expect_response(make_request("GET", "/read/", "r1")).status == 401; });
  fixture.store().restore(older);
  fixture.await([&] { return fixture.metric("hawthornnotch_store_era") == 2.0; });
  CPPUNIT_ASSERT_EQUAL(401U, fixture.expect_response(make_request("GET", "/read/", "r2")).status);
  fixture.store().put("op/config", default_config(8, "newer-key"));
  fixture.await([&] {
    http_request request = make_request("GET", "/read/", "r3");
    request.headers.back().second = "Bearer newer-key";
    return fixture.expect_response(std::move(request)).status == 200;
  });
}

// The watch starts after a revision that the store no longer has, so it may hang instead of
// failing.
TEST_THAT(store_restore, ends_a_watch_after_a_revision_of_the_older_era) {
  gateway_fixture fixture;
  fixture.add_server("s1", "stations", answer_ok);
  fixture.start();
  const fake_store::snapshot older = fixture.store().take_snapshot();
  advance_revision(fixture.store());
  fixture.store().put("op/config", default_config(2));
  fixture.await([&] { return fixture.metric("hawthornnotch_config_version") == 2.0; });
  fixture.store().hang_on_lost_history(true);
  fixture.store().restore(older);
  fixture.store().put("op/config", default_config(3));
  fixture.await([&] { return fixture.metric("hawthornnotch_config_version") == 3.0; });
}

TEST_THAT(store_restore, confirms_no_configuration_of_the_snapshot_until_the_newer_one_is_back) {
  loopback_runtime runtime;
  recording_peer peer(runtime);
  gateway_fixture fixture;
  fixture.add_server("s1", "stations", answer_ok);
  fixture.start({peer.address()});
  const fake_store::snapshot older = fixture.store().take_snapshot();
  fixture.store().put("op/config", default_config(7));
  fixture.await([&] { return peer.received_messages().back().config_version == 7; });
  fixture.store().restore(older);
  fixture.await([&] { return peer.received_messages().back().list_version.era == 2; });
  // Twenty exchanges take longer than several calls to the store.
  const std::size_t before = peer.received_messages().size();
  fixture.await([&] { return peer.received_messages().size() >= before + 20; });
  for (const relay::exchange_message& message : peer.received_messages()) {
    CPPUNIT_ASSERT(message.config_version != 7 || message.config_seen.era < 2);
  }
  fixture.store().put("op/config", default_config(7));
  fixture.await([&] { return peer.received_messages().back().config_seen.era == 2; });
}

// After the restore, the id of the old lease may belong to another VM.
TEST_THAT(store_restore, makes_an_entry_vm_write_its_entry_under_a_new_lease) {
  gateway_fixture fixture;
  fixture.add_server("s1", "stations", answer_ok);
  const fake_store::snapshot older = fixture.store().take_snapshot();
  fixture.start();
  const std::string key = "hn/entry/entry-1";
  fixture.await([&] { return fixture.store().find(key).has_value(); });
  fixture.store().restore(older);
  const std::int64_t of_another = fixture.store().grant_lease();
  fixture.await([&] { return fixture.store().find(key).has_value(); });
  CPPUNIT_ASSERT(fixture.store().find(key)->lease > of_another);
}

TEST_THAT(store_restore, is_learned_from_a_peer_while_the_store_is_unreachable) {
  gateway_fixture first;
  fake_server& leaving = first.add_server("s1", "stations", answer_ok);
  fake_server& other = first.add_server("s2", "stations", answer_slowly);
  const fake_store::snapshot older = first.store().take_snapshot();
  advance_revision(first.store());
  first.start();
  gateway_fixture second;
  second.store().set_unavailable(true);
  second.start({first.peers()});
  second.send_reads(1);
  first.store().restore(older);
  first.list(other, "stations");
  first.list(leaving, "stations", true);
  second.await_no_requests(leaving);
  CPPUNIT_ASSERT(second.metric("hawthornnotch_store_era") == 2.0);
}

TEST_THAT(store_restore, may_happen_twice_within_seconds) {
  gateway_fixture fixture;
  fake_server& leaving = fixture.add_server("s1", "stations", answer_ok);
  fixture.add_server("s2", "stations", answer_slowly);
  fixture.start();
  const fake_store::snapshot older = fixture.store().take_snapshot();
  advance_revision(fixture.store());
  fixture.send_reads(1);
  fixture.store().restore(older);
  advance_revision(fixture.store());
  fixture.store().restore(older);
  fixture.list(leaving, "stations", true);
  fixture.await_no_requests(leaving);
  fixture.store().put("op/config", default_config(2));
  fixture.await([&] { return fixture.metric("hawthornnotch_config_version") == 2.0; });
}

TEST_THAT(store_restore, may_happen_during_startup) {
  gateway_fixture fixture;
  fixture.add_server("s1", "stations", answer_ok);
  const fake_store::snapshot older = fixture.store().take_snapshot();
  advance_revision(fixture.store());
  fixture.start_without_store();
  fixture.await([&] { return fixture.metric("hawthornnotch_store_era") == 1.0; });
  fixture.store().restore(older);
  fixture.store().set_unavailable(false);
  fixture.await([&] { return fixture.readiness() == 200; });
  fixture.send_reads(1);
  CPPUNIT_ASSERT(fixture.metric("hawthornnotch_store_era") == 2.0);
}

TEST_THAT(store_restore, is_not_assumed_if_the_store_sends_no_era) {
  gateway_fixture fixture;
  fake_server& leaving = fixture.add_server("s1", "stations", answer_ok);
  fixture.add_server("s2", "stations", answer_slowly);
  fixture.store().omit_era();
  fixture.start();
  fixture.list(leaving, "stations", true);
  fixture.await_no_requests(leaving);
  fixture.store().put("op/config", default_config(2));
  fixture.await([&] { return fixture.metric("hawthornnotch_config_version") == 2.0; });
  CPPUNIT_ASSERT(fixture.metric("hawthornnotch_store_era") == 0.0);
}

}  // namespace
}  // namespace hawthornnotch::test
