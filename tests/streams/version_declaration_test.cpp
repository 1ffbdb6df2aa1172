// Which streams may begin before the record in the platform's store names them.
#include "hawthornnotch/streams/version_declaration.h"

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "hawthornnotch/streams/stream_record.h"
#include "test_case.h"

namespace hawthornnotch::streams {
namespace {

using namespace literals;

constexpr time_point start{1'000'000};

version_shares only(const std::string& version) { return version_shares::only(version); }

vm_declaration declares(std::vector<version_shares> alternatives) {
  vm_declaration out;
  out.mixed["forecast"] = {"v1", "v2"};
  out.rules["forecast"] = {std::move(alternatives), "v1"};
  return out;
}

// A stream of a service whose base version is v1.
version_declaration::new_stream make_stream() { return {"forecast", "a", "v1"}; }

// A process without a predecessor, whose lease was granted just now.
version_declaration first_process() {
  version_declaration declaration;
  declaration.on_predecessor(vm_declaration{});
  declaration.on_no_predecessor();
  declaration.on_leased(start);
  return declaration;
}

version_declaration::rule_inputs inputs(const std::string& version, bool quick = true) {
  return {"forecast", only(version), "v1", quick};
}

begin_permission at(const version_declaration& declaration, const std::string& version,
                    time_point now = start) {
  return declaration.permission(make_stream(), version, now);
}

TEST_THAT(begin_permission, follows_the_base_version_before_anything_is_declared) {
  const version_declaration declaration = first_process();
  CPPUNIT_ASSERT(at(declaration, "v1") == begin_permission::allowed);
  CPPUNIT_ASSERT(at(declaration, "v2") == begin_permission::needs_record);
  CPPUNIT_ASSERT(declaration.permission({"forecast", "a", std::nullopt}, "v1", start) ==
                 begin_permission::unknown);
}

TEST_THAT(begin_permission, is_unknown_before_the_records_are_read) {
  CPPUNIT_ASSERT(at(version_declaration(), "v1") == begin_permission::unknown);
}

// A write whose answer is lost may have been applied or not: what it would allow is not enough, and
// what it would take away is not allowed any more.
TEST_THAT(begin_permission, needs_all_that_the_store_may_hold_to_agree) {
  version_declaration declaration = first_process();
  declaration.on_sending(declares({only("v2")}));
  CPPUNIT_ASSERT(at(declaration, "v1") == begin_permission::needs_record);
  CPPUNIT_ASSERT(at(declaration, "v2") == begin_permission::needs_record);
  CPPUNIT_ASSERT(!declaration.preferred_version(make_stream(), start));
  declaration.on_written(declares({only("v2")}), start);
  CPPUNIT_ASSERT(at(declaration, "v1") == begin_permission::needs_record);
  CPPUNIT_ASSERT(at(declaration, "v2") == begin_permission::allowed);
  CPPUNIT_ASSERT(declaration.preferred_version(make_stream(), start) == "v2");
}

TEST_THAT(begin_permission, allows_each_version_of_a_rule_with_alternatives) {
  version_declaration declaration = first_process();
  declaration.on_written(declares({only("v1"), only("v2")}), start);
  CPPUNIT_ASSERT(at(declaration, "v1") == begin_permission::allowed);
  CPPUNIT_ASSERT(at(declaration, "v2") == begin_permission::allowed);
  CPPUNIT_ASSERT(declaration.preferred_version(make_stream(), start) == "v2");
}

// The record goes with its lease before the stream is over.
TEST_THAT(begin_permission, is_that_of_no_record_too_once_the_lease_runs_out) {
  version_declaration declaration = first_process();
  declaration.on_written(declares({only("v2")}), start);
  const time_point late = start + declaration_renewal * 2;
  CPPUNIT_ASSERT(at(declaration, "v2", late) == begin_permission::needs_record);
  CPPUNIT_ASSERT(at(declaration, "v1", late) == begin_permission::needs_record);
}

TEST_THAT(begin_permission, is_that_of_no_record_after_a_restore) {
  version_declaration declaration = first_process();
  declaration.on_written(declares({only("v2")}), start);
  declaration.withdraw();
  CPPUNIT_ASSERT(at(declaration, "v2") == begin_permission::needs_record);
  CPPUNIT_ASSERT(at(declaration, "v1") == begin_permission::allowed);
}

// Guards against a process that begins streams against the record that its predecessor left.
TEST_THAT(begin_permission, follows_the_record_of_the_earlier_process) {
  version_declaration declaration;
  declaration.on_leased(start);
  declaration.on_predecessor(declares({only("v2")}));
  CPPUNIT_ASSERT(at(declaration, "v1") == begin_permission::needs_record);
  CPPUNIT_ASSERT(at(declaration, "v2") == begin_permission::allowed);
}

TEST_THAT(version_declaration, names_a_stream_that_began_before_its_record_was_composed) {
  version_declaration declaration = first_process();
  declaration.demand_write(start);
  declaration.on_written(declares({only("v1")}), start);
  CPPUNIT_ASSERT(!declaration.names_streams_until("forecast", start, start));
  CPPUNIT_ASSERT(declaration.write_is_demanded());
  declaration.on_written(declares({only("v1")}), start + 1_ms);
  CPPUNIT_ASSERT(declaration.names_streams_until("forecast", start, start + 1_ms));
  CPPUNIT_ASSERT(!declaration.write_is_demanded());
}

TEST_THAT(next_rule, changes_shares_once_the_last_ones_are_acknowledged) {
  version_declaration declaration = first_process();
  const vm_declaration first = declares({only("v1")});
  declaration.on_sending(first);
  CPPUNIT_ASSERT(declaration.next_rule(inputs("v2")).alternatives ==
                 std::vector<version_shares>{only("v1")});
  declaration.on_written(first, start);
  CPPUNIT_ASSERT(declaration.next_rule(inputs("v2")).alternatives ==
                 std::vector<version_shares>{only("v2")});
}

// Streams of the earlier process that its last record does not name began by its rule.
TEST_THAT(next_rule, is_that_of_the_earlier_process_until_its_streams_are_over) {
  version_declaration declaration;
  declaration.on_predecessor(declares({only("v1")}));
  CPPUNIT_ASSERT(declaration.next_rule(inputs("v2")).alternatives ==
                 std::vector<version_shares>{only("v1")});
  CPPUNIT_ASSERT(declaration.next_rule(inputs("v2", false)).alternatives ==
                 (std::vector<version_shares>{only("v1"), only("v2")}));
  declaration.on_no_predecessor();
  CPPUNIT_ASSERT(declaration.next_rule(inputs("v2")).alternatives ==
                 std::vector<version_shares>{only("v2")});
}

// The earlier process began streams at the base version and left no trace.
TEST_THAT(next_rule, holds_to_the_base_version_after_an_undeclared_process_if_records_are_quick) {
  version_declaration declaration;
  declaration.on_predecessor(vm_declaration{});
  CPPUNIT_ASSERT(declaration.next_rule(inputs("v2")).alternatives ==
                 std::vector<version_shares>{only("v1")});
  CPPUNIT_ASSERT(declaration.next_rule(inputs("v2", false)).alternatives ==
                 (std::vector<version_shares>{only("v1"), only("v2")}));
}

TEST_THAT(next_rule, is_open_after_a_process_whose_record_is_unknown_or_has_none) {
  version_declaration unread;
  CPPUNIT_ASSERT(unread.next_rule(inputs("v2")).is_open());
  version_declaration after_earlier_build;
  after_earlier_build.on_predecessor(declares({}));
  CPPUNIT_ASSERT(after_earlier_build.next_rule(inputs("v2")).is_open());
}

// What the earlier process declared is not known, so nothing about its streams is.
TEST_THAT(next_rule, is_open_after_a_process_whose_record_can_not_be_read) {
  version_declaration declaration;
  declaration.on_predecessor(vm_declaration::unreadable());
  CPPUNIT_ASSERT(declaration.next_rule(inputs("v2")).is_open());
  CPPUNIT_ASSERT(!declaration.knows_own_streams("forecast"));
}

// Restarts in a row must not let the record grow without bound.
TEST_THAT(next_rule, is_open_after_many_different_rules) {
  std::vector<version_shares> many;
  for (std::uint32_t weight = 1; weight < 10; ++weight) {
    many.push_back(*version_shares::create({{"v1", weight}, {"v2", 1}}));
  }
  version_declaration declaration;
  declaration.on_predecessor(declares(std::move(many)));
  CPPUNIT_ASSERT(declaration.next_rule(inputs("v2")).is_open());
}

stream_record record_with_rules() {
  const vm_declaration declared = declares({only("v1"), only("v2")});
  stream_record record;
  record.recent_versions = declared.mixed;
  record.rules = declared.rules;
  record.rules["drafts"] = {{*version_shares::create({{"d1", 3}, {"d2", 5}})}, std::nullopt};
  record.known_vms = 295;
  return record;
}

TEST_THAT(stream_record, keeps_the_rules_and_the_number_of_vms) {
  const stream_record record = record_with_rules();
  const auto read = decode_stream_record(encode(record));
  CPPUNIT_ASSERT(read);
  CPPUNIT_ASSERT(*read == record);
  CPPUNIT_ASSERT(read->declaration().rule_of("forecast").alternatives.size() == 2);
}

// Processes of the build before write neither; their streams may begin at any version.
TEST_THAT(stream_record, has_an_open_rule_if_it_names_none) {
  const auto read = decode_stream_record(R"({"versions":{"forecast":["v1","v2"]},"streams":{}})");
  CPPUNIT_ASSERT(read);
  CPPUNIT_ASSERT(read->declaration().rule_of("forecast").is_open());
  CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, read->known_vms);
}

TEST_THAT(stream_record, is_refused_with_malformed_rules) {
  const std::string begin = R"({"versions":{},"streams":{},"rules":)";
  for (const char* rules :
       {"[]", R"({"f":[]})", R"({"f":{}})", R"({"f":{"alternatives":[{}]}})",
        R"({"f":{"alternatives":[{"v1":0}]}})", R"({"f":{"alternatives":[{"v1":-1}]}})",
        R"({"f":{"alternatives":[{"v1":9999999999}]}})",
        R"({"f":{"alternatives":[{"v1":1}],"base":1}})", R"({"f":{"alternatives":["v1"]}})"}) {
    CPPUNIT_ASSERT_MESSAGE(rules, !decode_stream_record(begin + rules + "}"));
  }
  CPPUNIT_ASSERT(!decode_stream_record(R"({"versions":{},"streams":{},"known_vms":"3"})"));
}

}  // namespace
}  // namespace hawthornnotch::streams
