#include "hawthornnotch/config/json_reader.h"

#include "test_case.h"

namespace hawthornnotch {
namespace {

boost::json::object object_of(std::string_view text) {
  auto parsed = parse_object(text);
  CPPUNIT_ASSERT(parsed.has_value());
  return *parsed;
}

TEST_THAT(json_reader, names_an_unknown_key) {
  const auto object = object_of(R"({"port": 1, "prot": 2})");
  json_reader reader(object, "limits");
  CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, reader.integer("port", {0, 9}));
  const auto failure = reader.finish();
  CPPUNIT_ASSERT(failure.has_value());
  CPPUNIT_ASSERT_EQUAL(std::string("limits.prot"), failure->key);
  CPPUNIT_ASSERT(failure->fault == settings_fault::unknown_key);
}

TEST_THAT(json_reader, names_the_allowed_range_of_a_value_outside_it) {
  const auto object = object_of(R"({"port": 10})");
  json_reader reader(object, "");
  reader.integer("port", {0, 9});
  CPPUNIT_ASSERT_EQUAL(std::string("out of range: port = 10 (allowed: a whole number from 0 to 9)"),
                       describe(*reader.finish()));
}

TEST_THAT(json_reader, refuses_a_fraction_and_a_huge_number_where_a_whole_one_is_asked) {
  for (const char* text : {R"({"port": 1.5})", R"({"port": 1e30})", R"({"port": "1"})"}) {
    const auto object = object_of(text);
    json_reader reader(object, "");
    reader.integer("port", {0, 9});
    CPPUNIT_ASSERT_MESSAGE(text, reader.finish()->fault == settings_fault::wrong_type);
  }
}

TEST_THAT(json_reader, refuses_addresses_without_a_valid_port) {
  for (const char* text : {"127.0.0.1", ":80", "127.0.0.1:", "127.0.0.1:70000", "127.0.0.1:8x"}) {
    CPPUNIT_ASSERT_MESSAGE(text, !parse_endpoint(text));
  }
  CPPUNIT_ASSERT(parse_endpoint("127.0.0.1:80") == (endpoint{"127.0.0.1", 80}));
}

}  // namespace
}  // namespace hawthornnotch
