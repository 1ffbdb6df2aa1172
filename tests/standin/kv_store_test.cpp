#include "hawthornnotch/standin/kv_store.h"

#include <string>

#include "test_case.h"

namespace {

using namespace hawthornnotch;
using namespace hawthornnotch::standin;

void put(kv_store& store, const std::string& key, const std::string& value,
         std::int64_t lease = 0) {
  store.begin();
  store.put(key, value, lease);
  store.commit();
}

TEST_THAT(kv_store, raises_the_revision_once_for_all_changes_of_a_transaction) {
  const stepped_clock time;
  kv_store store(time);
  store.begin();
  store.put("a", "1", 0);
  store.put("b", "1", 0);
  store.commit();
  CPPUNIT_ASSERT_EQUAL(std::int64_t{2}, store.revision());
  CPPUNIT_ASSERT_EQUAL(std::int64_t{2}, store.find("a")->mod_revision);
  CPPUNIT_ASSERT_EQUAL(std::int64_t{2}, store.find("b")->create_revision);
  store.begin();
  store.commit();
  CPPUNIT_ASSERT_EQUAL(std::int64_t{2}, store.revision());
}

TEST_THAT(kv_store, removes_the_keys_of_a_lease_that_was_not_kept_alive) {
  stepped_clock time;
  kv_store store(time);
  const std::int64_t lease = store.grant(0, {2'000});
  put(store, "held", "1", lease);
  put(store, "free", "1");
  time.advance({1'500});
  CPPUNIT_ASSERT(store.keep_alive(lease).has_value());
  time.advance({1'500});
  store.expire();
  CPPUNIT_ASSERT(store.find("held").has_value());
  time.advance({500});
  store.expire();
  CPPUNIT_ASSERT(!store.find("held").has_value());
  CPPUNIT_ASSERT(store.find("free").has_value());
  CPPUNIT_ASSERT(!store.keep_alive(lease).has_value());
}

TEST_THAT(kv_store, frees_a_key_that_is_put_again_without_its_lease) {
  stepped_clock time;
  kv_store store(time);
  const std::int64_t lease = store.grant(0, {1'000});
  put(store, "k", "1", lease);
  put(store, "k", "2");
  time.advance({1'000});
  store.expire();
  CPPUNIT_ASSERT(store.find("k").has_value());
}

TEST_THAT(kv_store_history, ends_where_it_was_compacted) {
  constexpr int more_than_kept = 50'010;
  const stepped_clock time;
  kv_store store(time);
  for (int index = 0; index < more_than_kept; ++index) {
    put(store, "k", "v");
  }
  CPPUNIT_ASSERT(!store.events({"k", ""}, 2).has_value());
  const auto kept = store.events({"k", ""}, store.oldest_revision());
  CPPUNIT_ASSERT(kept.has_value());
  CPPUNIT_ASSERT_EQUAL(store.oldest_revision(), kept->front().now.mod_revision);
  CPPUNIT_ASSERT_EQUAL(store.revision(), kept->back().now.mod_revision);
}

}  // namespace
