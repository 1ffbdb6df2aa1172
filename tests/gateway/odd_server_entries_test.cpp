// Guards against a server list that is no longer followed since one entry of it is odd.
#include <string>

#include "gateway_fixture.h"
#include "test_case.h"

namespace hawthornnotch::test {
namespace {

void put_odd_entries(fake_store& store) {
  constexpr std::size_t levels = 100'000;
  store.put("servers/odd-1", std::string(levels, '['));
  store.put("servers/odd-2",
            R"({"Service":"stations","Address":"127.0.0.1:65536","Zone":"z","State":"ready"})");
  store.put("servers/odd-3", R"({"Service":"stations","Address":"127.0.0.1:1","Zone":"z",)"
                             R"("State":"ready","Slots":1e300})");
  store.put("servers/odd-4", "\xff\xfe");
  store.put("servers/odd-5\r\nX: 1",
            R"({"Service":"stations","Address":"127.0.0.1:1","Zone":"z","State":"ready"})");
}

void expect_served(gateway_fixture& fixture, const std::string& id) {
  CPPUNIT_ASSERT_EQUAL(200U, fixture.expect_response(make_request("GET", "/read/", id)).status);
}

TEST_THAT(odd_server_entries, leave_the_others_in_force_in_the_first_list) {
  gateway_fixture fixture;
  put_odd_entries(fixture.store());
  fixture.add_server("s1", "stations", answer_ok);
  fixture.start();
  expect_served(fixture, "r1");
}

TEST_THAT(odd_server_entries, do_not_stop_later_changes_of_the_list) {
  gateway_fixture fixture;
  fake_server& first = fixture.add_server("s1", "stations", answer_ok);
  fixture.start();
  expect_served(fixture, "r1");
  put_odd_entries(fixture.store());
  fake_server& second = fixture.add_server("s2", "stations", answer_ok);
  fixture.list(first, "stations", true);
  fixture.await_no_requests(first);
  expect_served(fixture, "r2");
  CPPUNIT_ASSERT(!second.received().empty());
}

}  // namespace
}  // namespace hawthornnotch::test
