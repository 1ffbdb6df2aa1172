// What the declarations of the entry VMs prove of a stream that no record names.
#include "hawthornnotch/streams/version_proof.h"

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "test_case.h"

namespace hawthornnotch::streams {
namespace {

using namespace literals;

constexpr time_point start{1'000'000};

version_shares only(const std::string& version) { return version_shares::only(version); }

begin_rule rule_of(std::vector<version_shares> alternatives) {
  return {std::move(alternatives), "v1"};
}

// One row of facts about a stream of the attempt "a", and what they prove.
struct fact_case {
  std::string name;
  begin_facts facts;
  std::vector<std::string> excluded;
  // Empty if they prove nothing.
  std::string proved;
};

void expect(const fact_case& row) {
  begin_facts facts = row.facts;
  for (const std::string& vm : row.excluded) {
    facts.exclude(vm);
  }
  const auto proved = prove_version(facts, "a");
  CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.proved, proved ? *proved : std::string());
}

TEST_THAT(version_proof, follows_from_the_rules_of_all_vms_that_may_have_begun_the_stream) {
  const begin_rule at_v1 = rule_of({only("v1")});
  const begin_rule at_v2 = rule_of({only("v2")});
  const begin_rule at_both = rule_of({only("v1"), only("v2")});
  const begin_rule open = rule_of({});
  const std::vector<fact_case> table{
      {"all agree", {{{"x", at_v2}, {"y", at_v2}}, false, {"v1"}}, {}, "v2"},
      {"no base is needed where all declared", {{{"x", at_v2}}, false, {}}, {}, "v2"},
      {"two disagree", {{{"x", at_v1}, {"y", at_v2}}, false, {"v1"}}, {}, ""},
      {"the one that differs did not begin it",
       {{{"x", at_v1}, {"y", at_v2}}, false, {"v1"}},
       {"y"},
       "v1"},
      {"a VM that declared nothing may have begun it at the base version",
       {{{"x", at_v2}}, true, {"v1"}},
       {},
       ""},
      {"it agrees with the others", {{{"x", at_v1}}, true, {"v1"}}, {}, "v1"},
      {"only it is left", {{{"x", at_v2}}, true, {"v1"}}, {"x"}, "v1"},
      {"its base version is unknown", {{{"x", at_v2}}, true, {}}, {"x"}, ""},
      {"VMs name two base versions", {{{"x", at_v2}}, true, {"v1", "v2"}}, {"x"}, ""},
      {"a rule is open, as of an earlier build",
       {{{"x", open}, {"y", at_v1}}, false, {"v1"}},
       {},
       ""},
      {"the VM with the open rule did not begin it",
       {{{"x", open}, {"y", at_v1}}, false, {"v1"}},
       {"x"},
       "v1"},
      {"a VM that started lately follows two rules", {{{"x", at_both}}, false, {"v1"}}, {}, ""},
      {"its earlier process may have begun it",
       {{{"x", at_both}, {"y", at_v2}}, false, {"v1"}},
       {"x"},
       ""},
      {"the same with a rule that allows the base version alone",
       {{{"x", at_v1}, {"y", at_v2}}, false, {"v1"}},
       {"x"},
       ""},
      {"nobody began it: it is older", {{{"x", at_v2}}, false, {"v1"}}, {"x"}, "v1"},
  };
  for (const fact_case& row : table) {
    expect(row);
  }
}

vm_declaration declares(begin_rule rule, std::int64_t known_vms) {
  vm_declaration out;
  out.mixed["forecast"] = {"v1", "v2"};
  out.rules["forecast"] = std::move(rule);
  out.known_vms = known_vms;
  return out;
}

// A VM that was lost before it declared began its streams at the base version.
TEST_THAT(version_proof, counts_the_vms_that_declared) {
  declaration_table table;
  table.on_read(
      {{"x", declares(rule_of({only("v2")}), 2)}, {"y", declares(rule_of({only("v2")}), 3)}},
      start);
  CPPUNIT_ASSERT(gather_facts("forecast", table, {2, std::nullopt}).undeclared_possible);
  table.on_read(
      {{"x", declares(rule_of({only("v2")}), 2)}, {"y", declares(rule_of({only("v2")}), 2)}},
      start);
  CPPUNIT_ASSERT(!gather_facts("forecast", table, {2, std::nullopt}).undeclared_possible);
  CPPUNIT_ASSERT(gather_facts("forecast", table, {3, std::nullopt}).undeclared_possible);
  CPPUNIT_ASSERT(gather_facts("drafts", table, {2, std::nullopt}).beginners.empty());
}

// Guards against a record that can't be read being taken for a proof that its VM declared nothing.
TEST_THAT(version_proof, finds_nothing_where_a_record_can_not_be_read) {
  const vm_declaration unreadable = vm_declaration::unreadable();
  declaration_table table;
  table.on_read({{"x", declares(rule_of({only("v2")}), 2)}, {"y", unreadable}}, start);
  const auto facts = gather_facts("forecast", table, {2, "v1"});
  CPPUNIT_ASSERT(prove_version(facts, "a").last_reason() == begin_doubt::open_rule);
  const version_sets in_service{{"forecast", {"v1"}}};
  CPPUNIT_ASSERT(!recorded_bases(in_service, {{"y", unreadable}}).contains("forecast"));
}

// Review case 13: processes that started while versions were mixed learn the base version.
TEST_THAT(recorded_bases, are_those_that_vms_name_or_that_served_alone) {
  const version_sets in_service{{"forecast", {"v2"}}, {"drafts", {"d1"}}};
  const auto named = recorded_bases(in_service, {{"x", declares(rule_of({only("v2")}), 2)}});
  CPPUNIT_ASSERT(named == (version_sets{{"forecast", {"v1"}}, {"drafts", {"d1"}}}));
  begin_rule other = rule_of({only("v2")});
  other.base = "v2";
  const auto disputed = recorded_bases(
      in_service, {{"x", declares(rule_of({only("v2")}), 2)}, {"y", declares(other, 2)}});
  CPPUNIT_ASSERT_EQUAL(std::size_t{2}, disputed.at("forecast").size());
  vm_declaration of_earlier_build;
  of_earlier_build.mixed["forecast"] = {"v1", "v2"};
  CPPUNIT_ASSERT(!recorded_bases(in_service, {{"x", of_earlier_build}}).contains("forecast"));
}

}  // namespace
}  // namespace hawthornnotch::streams
