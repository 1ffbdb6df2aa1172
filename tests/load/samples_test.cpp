#include <algorithm>
#include <string>

#include "hawthornnotch/config/codec.h"
#include "hawthornnotch/load/profile.h"
#include "hawthornnotch/load/settings.h"
#include "test_case.h"

// Run from the repository's root, as scripts/run_tests.sh does.
namespace hawthornnotch::load {
namespace {

boost::json::object read(const std::string& path) {
  auto object = read_object_file(path);
  CPPUNIT_ASSERT_MESSAGE(path, object.has_value());
  return *object;
}

workspace_parameters expanded(const std::string& from, const std::string& workspace) {
  const auto parsed = parse_template(read("samples/" + from));
  CPPUNIT_ASSERT_MESSAGE(from, parsed.has_value());
  const auto filled = expand(*parsed, read("samples/" + workspace));
  CPPUNIT_ASSERT_MESSAGE(workspace, filled.has_value());
  return *filled;
}

void assert_same(const profile& mix, const workspace_parameters& parameters) {
  for (const request_kind& kind : mix.kinds) {
    CPPUNIT_ASSERT_EQUAL(parameters.workspace, kind.workspace);
    const auto found =
        std::find_if(parameters.classes.begin(), parameters.classes.end(),
                     [&kind](const request_class& one) { return one.name == kind.class_name; });
    CPPUNIT_ASSERT_MESSAGE(kind.class_name, found != parameters.classes.end());
    CPPUNIT_ASSERT_EQUAL(int{kind.service_tier}, int{found->service_tier});
    CPPUNIT_ASSERT_EQUAL(kind.idempotent, found->idempotent);
    CPPUNIT_ASSERT(kind.target.first_token == found->target.first_token);
    CPPUNIT_ASSERT(kind.target.between_tokens == found->target.between_tokens);
    CPPUNIT_ASSERT(kind.target.completion == found->target.completion);
    CPPUNIT_ASSERT(kind.longest_tokens <= found->max_tokens);
  }
}

TEST_THAT(samples, templates_agree_with_the_classes_of_the_load_profiles) {
  assert_same(poledica(), expanded("03-poledica/templates/dispatch.json",
                                   "03-poledica/workspaces/poledica-dispatch.json"));
  assert_same(roundabout(), expanded("04-roundabout/templates/counter.json",
                                     "04-roundabout/workspaces/roundabout-counter.json"));
}

TEST_THAT(samples, a_workspace_changes_members_of_its_template) {
  const auto council =
      expanded("03-poledica/templates/dispatch.json", "03-poledica/workspaces/zadar-council.json");
  CPPUNIT_ASSERT_EQUAL(std::int64_t{2000}, council.classes.front().target.first_token->ms);
  CPPUNIT_ASSERT_EQUAL(std::int64_t{30'000}, council.classes.back().queue_limit.ms);
  const auto sales = expanded("04-roundabout/templates/counter.json",
                              "04-roundabout/workspaces/sponsor-sales.json");
  CPPUNIT_ASSERT_EQUAL(std::string("pitch-letter"), sales.default_class);
}

TEST_THAT(load_settings, samples_are_right_and_capacity_follows_the_faults) {
  CPPUNIT_ASSERT(parse_load_settings(read("samples/05-load/poledica.json")).has_value());
  const auto faulty = parse_load_settings(read("samples/05-load/roundabout-with-faults.json"));
  CPPUNIT_ASSERT(faulty.has_value());
  CPPUNIT_ASSERT(faulty->base_rate > 0);
  const double whole = capacity_at(*faulty, 10);
  CPPUNIT_ASSERT(capacity_at(*faulty, 11) < whole);
  CPPUNIT_ASSERT(capacity_at(*faulty, 14) < capacity_at(*faulty, 11));
  CPPUNIT_ASSERT_DOUBLES_EQUAL(capacity_at(*faulty, 29), capacity_at(*faulty, 0), 1e-9);
}

TEST_THAT(load_settings, a_wrong_key_or_two_rates_are_refused_by_name) {
  boost::json::object object = read("samples/05-load/poledica.json");
  object["burst_laod"] = 1;
  CPPUNIT_ASSERT_EQUAL(std::string("burst_laod"), parse_load_settings(object).last_reason().key);
  object.erase("burst_laod");
  object["base_rate_per_s"] = 5;
  CPPUNIT_ASSERT_EQUAL(std::string("burst_load"), parse_load_settings(object).last_reason().key);
}

}  // namespace
}  // namespace hawthornnotch::load
