#include "hawthornnotch/config/codec.h"

#include <boost/json/parse.hpp>

#include "test_case.h"

namespace hawthornnotch {
namespace {

constexpr std::string_view dispatch_template = R"({
  "template": "dispatch",
  "parameters": {"urgent_ms": 2000, "crews": null},
  "body": {
    "default_class": "bulletin",
    "classes": [
      {"name": "bulletin", "tier": 0, "first_token_ms": "$urgent_ms"},
      {"name": "order", "tier": 0, "idempotent": false}],
    "limits": {"requests_per_second": 20, "concurrency": "$crews"}}})";

boost::json::object object_of(std::string_view text) {
  return boost::json::parse(boost::json::string_view(text)).as_object();
}

traffic_template dispatch() { return *parse_template(object_of(dispatch_template)); }

settings_failure refused(std::string_view workspace) {
  const auto expanded = expand(dispatch(), object_of(workspace));
  CPPUNIT_ASSERT(!expanded);
  return expanded.last_reason();
}

TEST_THAT(traffic_template, fills_in_parameters_and_overrides_member_by_member) {
  const auto expanded = expand(dispatch(), object_of(R"({
    "workspace": "zupanija", "template": "dispatch", "parameters": {"crews": 12},
    "classes": [{"name": "order", "max_tokens": 200}, {"name": "summary", "tier": 3}],
    "limits": {"queued": 5}})"));
  CPPUNIT_ASSERT(expanded.has_value());
  CPPUNIT_ASSERT_EQUAL(std::size_t{3}, expanded->classes.size());
  CPPUNIT_ASSERT_EQUAL(std::int64_t{2'000}, expanded->classes[0].target.first_token->ms);
  CPPUNIT_ASSERT(!expanded->classes[1].idempotent);
  CPPUNIT_ASSERT_EQUAL(200U, expanded->classes[1].max_tokens);
  CPPUNIT_ASSERT_EQUAL(12U, expanded->limits.concurrency);
  CPPUNIT_ASSERT_EQUAL(5U, expanded->limits.queued);
  CPPUNIT_ASSERT_EQUAL(20.0, expanded->limits.requests_per_second);
}

TEST_THAT(traffic_template, names_the_parameter_that_is_missing_or_unknown) {
  CPPUNIT_ASSERT_EQUAL(std::string("parameters.crews"), refused(R"({"workspace": "a"})").key);
  const auto unknown = refused(R"({"workspace": "a", "parameters": {"crew": 1}})");
  CPPUNIT_ASSERT(unknown.fault == settings_fault::unknown_key);
}

TEST_THAT(workspace_codec, gives_back_what_it_wrote) {
  auto expanded =
      *expand(dispatch(), object_of(R"({"workspace": "a", "parameters": {"crews": 1}})"));
  expanded.revision = 7;
  expanded.key_hashes = {std::string(64, 'a')};
  const auto again = parse_workspace(to_json(expanded));
  CPPUNIT_ASSERT(again.has_value());
  CPPUNIT_ASSERT(to_json(*again) == to_json(expanded));
}

TEST_THAT(workspace_codec, refuses_what_the_types_do_not_say) {
  const auto first = refused(R"({"workspace": "a", "parameters": {"crews": 1},
                                 "default_class": "none"})");
  CPPUNIT_ASSERT_EQUAL(std::string("default_class"), first.key);
  CPPUNIT_ASSERT_EQUAL(std::string("workspace"),
                       refused(R"({"workspace": "A/b", "parameters": {"crews": 1}})").key);
  CPPUNIT_ASSERT_EQUAL(std::string("limits.concurrency"),
                       refused(R"({"workspace": "a", "parameters": {"crews": -1}})").key);
  CPPUNIT_ASSERT_EQUAL(std::string("revision"),
                       refused(R"({"workspace": "a", "revision": 4})").key);
  CPPUNIT_ASSERT(refused(R"({"workspace": "a", "parameters": {"crews": 1}, "tiers": 2})").fault ==
                 settings_fault::unknown_key);
}

}  // namespace
}  // namespace hawthornnotch
