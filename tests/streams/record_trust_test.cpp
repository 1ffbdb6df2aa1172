// When a process may conclude something from a record that is missing.
#include "hawthornnotch/streams/record_trust.h"

#include <set>
#include <string>

#include "hawthornnotch/streams/declaration_table.h"
#include "hawthornnotch/streams/stream_origin.h"
#include "hawthornnotch/streams/stream_record.h"
#include "hawthornnotch/streams/version_declaration.h"
#include "test_case.h"

namespace hawthornnotch::streams {
namespace {

using namespace literals;

constexpr time_point start{1'000'000};

record_trust first_read(const found_version_record& found, std::int64_t store_era) {
  record_trust trust;
  trust.on_first_read(found, store_era, start);
  return trust;
}

TEST_THAT(record_trust, holds_for_a_record_of_the_era_of_the_store) {
  CPPUNIT_ASSERT(first_read({true, 4}, 4).is_unbroken(start));
  CPPUNIT_ASSERT(first_read({true, 0}, 0).is_unbroken(start));
}

// All VMs were lost, and the store came back from a copy: nobody has written since.
TEST_THAT(record_trust, is_broken_for_a_record_of_an_earlier_era_until_all_streams_are_over) {
  const record_trust trust = first_read({true, 3}, 4);
  CPPUNIT_ASSERT(!trust.is_unbroken(start));
  CPPUNIT_ASSERT(!trust.is_unbroken(start + max_stream_age));
  CPPUNIT_ASSERT(trust.is_unbroken(start + max_stream_age + 1_ms));
}

TEST_THAT(record_trust, is_broken_for_a_record_of_a_store_that_was_restored_twice) {
  CPPUNIT_ASSERT(!first_read({true, 3}, 5).is_unbroken(start));
}

// VMs of an earlier build name no era, and may have written less.
TEST_THAT(record_trust, is_broken_for_a_record_without_era) {
  CPPUNIT_ASSERT(!first_read({true, std::nullopt}, 1).is_unbroken(start));
}

// The copy may be from before the first record.
TEST_THAT(record_trust, is_broken_by_a_missing_record_unless_the_store_was_never_restored) {
  CPPUNIT_ASSERT(first_read({false, std::nullopt}, 1).is_unbroken(start));
  CPPUNIT_ASSERT(!first_read({false, std::nullopt}, 2).is_unbroken(start));
}

TEST_THAT(record_trust, is_broken_by_a_restore_while_the_process_runs) {
  record_trust trust = first_read({true, 4}, 4);
  trust.on_restored(start + 5_s);
  CPPUNIT_ASSERT(!trust.is_unbroken(start + 5_s));
  CPPUNIT_ASSERT(trust.is_unbroken(start + 5_s + max_stream_age + 1_ms));
}

TEST_THAT(record_trust, is_judged_by_the_first_reading_only) {
  record_trust trust = first_read({true, 3}, 4);
  trust.on_first_read({true, 4}, 4, start + 1_s);
  CPPUNIT_ASSERT(!trust.is_unbroken(start + 1_s));
}

TEST_THAT(record_trust, is_unknown_before_the_first_reading) {
  CPPUNIT_ASSERT(!record_trust().is_unbroken(start));
  CPPUNIT_ASSERT(!record_trust().shows_all_servers(start));
}

// Servers that the copy does not hold register again within some seconds.
TEST_THAT(record_trust, takes_a_list_for_whole_some_seconds_after_a_restore) {
  CPPUNIT_ASSERT(first_read({true, 4}, 4).shows_all_servers(start));
  const record_trust trust = first_read({true, 3}, 4);
  CPPUNIT_ASSERT(!trust.shows_all_servers(start + 2_s));
  CPPUNIT_ASSERT(trust.shows_all_servers(start + 3_s));
}

vm_declaration declares_forecast() {
  vm_declaration out;
  out.mixed["forecast"] = {"v1", "v2"};
  return out;
}

TEST_THAT(version_declaration, covers_the_services_in_its_record_while_its_lease_lasts) {
  version_declaration declaration;
  declaration.on_leased(start);
  CPPUNIT_ASSERT(!declaration.covers("forecast", start));
  declaration.on_written(declares_forecast(), start);
  CPPUNIT_ASSERT(declaration.covers("forecast", start));
  CPPUNIT_ASSERT(!declaration.covers("drafts", start));
  CPPUNIT_ASSERT(!declaration.covers("forecast", start + declaration_renewal * 2));
  declaration.withdraw();
  CPPUNIT_ASSERT(!declaration.covers("forecast", start));
}

// A stream that begins while the declaration is valid is over when the record goes.
TEST_THAT(version_declaration, outlives_each_stream_that_it_covers) {
  CPPUNIT_ASSERT((max_stream_age + declaration_renewal * 2).ms <= declaration_ttl.ms);
}

TEST_THAT(version_declaration, is_renewed_in_time) {
  version_declaration declaration;
  declaration.on_leased(start);
  CPPUNIT_ASSERT(!declaration.renewal_is_due(start + declaration_renewal - 1_ms));
  CPPUNIT_ASSERT(declaration.renewal_is_due(start + declaration_renewal));
}

// Its earlier process may have begun streams that this one does not know.
TEST_THAT(version_declaration, vouches_for_an_earlier_process_only_if_that_declared_nothing) {
  version_declaration unread;
  CPPUNIT_ASSERT(!unread.knows_own_streams("forecast"));
  version_declaration lost;
  lost.on_predecessor(std::nullopt);
  CPPUNIT_ASSERT(!lost.knows_own_streams("forecast"));
  version_declaration declared;
  declared.on_predecessor(declares_forecast());
  CPPUNIT_ASSERT(!declared.knows_own_streams("forecast"));
  CPPUNIT_ASSERT(declared.knows_own_streams("drafts"));
  version_declaration none;
  none.on_predecessor(vm_declaration{});
  CPPUNIT_ASSERT(none.knows_own_streams("forecast"));
}

TEST_THAT(declaration_table, names_the_vms_that_declared_a_service) {
  declaration_table table;
  CPPUNIT_ASSERT(!table.is_read_since(time_point{}));
  table.on_read({{"entry-1", declares_forecast()}, {"entry-2", {}}}, start);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, table.declarers("forecast").size());
  CPPUNIT_ASSERT(table.declarers("forecast").contains("entry-1"));
  CPPUNIT_ASSERT(table.declarers("drafts").empty());
}

// A VM may have declared, and begun a stream, since the reading was asked for.
TEST_THAT(declaration_table, is_as_old_as_the_call_that_read_it) {
  declaration_table table;
  table.on_read({}, start);
  CPPUNIT_ASSERT(table.is_read_since(start));
  CPPUNIT_ASSERT(!table.is_read_since(start + 1_ms));
}

TEST_THAT(stream_record, keeps_the_era_of_the_store) {
  stream_record record;
  record.recent_versions["forecast"] = {"v1"};
  record.era = 3;
  const auto read = decode_stream_record(encode(record));
  CPPUNIT_ASSERT(read);
  CPPUNIT_ASSERT(*read == record);
}

TEST_THAT(stream_record, is_read_without_an_era_and_refused_with_a_malformed_one) {
  const auto of_earlier_build = decode_stream_record(R"({"versions":{},"streams":{}})");
  CPPUNIT_ASSERT(of_earlier_build);
  CPPUNIT_ASSERT(!of_earlier_build->era);
  CPPUNIT_ASSERT(!decode_stream_record(R"({"versions":{},"streams":{},"era":"3"})"));
}

}  // namespace
}  // namespace hawthornnotch::streams
