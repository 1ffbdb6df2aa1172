#include <string>
#include <vector>

#include "hawthornnotch/ctl/announcement.h"
#include "hawthornnotch/ctl/command.h"
#include "hawthornnotch/ctl/in_force.h"
#include "hawthornnotch/ctl/settings.h"
#include "test_case.h"

namespace {

using namespace hawthornnotch;
using namespace hawthornnotch::ctl;

fleet_vm server(const std::string& incarnation, bool leaving) {
  backend_server vm;
  vm.id = "b1";
  vm.incarnation = incarnation;
  vm.leaving = leaving;
  return vm;
}

TEST_THAT(announcement, never_revives_a_leaving_incarnation) {
  const auto reverted = decide_announce(server("i1", true), server("i1", false));
  CPPUNIT_ASSERT(std::holds_alternative<announcement_already_leaving>(reverted));
  const auto next = decide_announce(server("i1", true), server("i2", false));
  CPPUNIT_ASSERT(std::holds_alternative<announcement_write>(next));
  const auto again = decide_announce(server("i1", true), server("i1", true));
  CPPUNIT_ASSERT(std::holds_alternative<announcement_unchanged>(again));
}

TEST_THAT(announcement, of_leaving_changes_nothing_else) {
  const auto decision = decide_leave(server("i1", false));
  const auto* write = std::get_if<announcement_write>(&decision);
  CPPUNIT_ASSERT(write != nullptr);
  const auto expected = decide_announce({}, server("i1", true));
  CPPUNIT_ASSERT_EQUAL(std::get<announcement_write>(expected).text, write->text);
  CPPUNIT_ASSERT(std::holds_alternative<announcement_absent>(decide_leave({})));
  CPPUNIT_ASSERT(std::holds_alternative<announcement_unchanged>(decide_leave(server("i1", true))));
}

TEST_THAT(revision_in_force, is_unknown_if_the_dump_lacks_it) {
  const char* incomplete[] = {
      "rubbish",
      "{}",
      R"({"revisions":{"w":7}})",
      R"({"revisions":{"w":7},"router":{"reached":false}})",
      R"({"revisions":{"w":"x"},"router":{"revisions":{"w":7}}})",
      R"({"router":{"revisions":{"w":7}}})",
  };
  for (const char* dump : incomplete) {
    CPPUNIT_ASSERT_MESSAGE(dump, !revision_in_dump(dump, "w"));
  }
}

TEST_THAT(revision_in_force, is_the_lower_of_agent_and_router) {
  const auto revision = [](const std::string& agent, const std::string& router) {
    const std::string dump =
        R"({"revisions":{)" + agent + R"(},"router":{"revisions":{)" + router + "}}}";
    return revision_in_dump(dump, "w");
  };
  CPPUNIT_ASSERT(revision(R"("w":7)", R"("w":6)") == 6U);
  CPPUNIT_ASSERT(revision(R"("w":7)", R"("w":7,"v":1)") == 7U);
  CPPUNIT_ASSERT(revision(R"("w":7)", "") == 0U);
  CPPUNIT_ASSERT(revision("", "") == 0U);
}

TEST_THAT(revision_in_force, lists_each_agent_that_is_behind_or_unreachable) {
  const std::vector<agent_state> states = {{"zg-istok", {"127.0.0.1", 1}, 7},
                                           {"zg-zapad", {"127.0.0.1", 2}, 6},
                                           {"vz-jug", {"127.0.0.1", 3}, {}},
                                           {"ka-sjever", {"127.0.0.1", 4}, 8}};
  CPPUNIT_ASSERT_EQUAL(std::string("zg-zapad (127.0.0.1:2), vz-jug (127.0.0.1:3)"),
                       format_agents(lagging_agents(states, 7)));
  CPPUNIT_ASSERT(lagging_agents({states[0], states[3]}, 7).empty());
}

TEST_THAT(command_line_of_the_tool, is_refused_as_bad_input_unless_well_formed) {
  const std::vector<std::vector<std::string>> bad = {
      {},
      {"config"},
      {"vm", "leave"},
      {"dump", "nowhere"},
      {"explain", "a/../b"},
      {"--output", "xml", "vm", "list"},
      {"config", "set", "f", "--base-revision", "-1"},
      {"config", "set", "f", "--base-revision", "1x"},
  };
  for (const auto& arguments : bad) {
    const auto parsed = parse_command_line(arguments);
    CPPUNIT_ASSERT(!parsed && parsed.last_reason().code == exit_code::bad_input);
  }
  const auto good = parse_command_line({"config", "set", "f", "--base-revision", "4", "--wait"});
  CPPUNIT_ASSERT(good.has_value());
  const auto& set = std::get<config_set>(std::get<command_line>(*good).requested);
  CPPUNIT_ASSERT(set.base_revision == 4U && set.wait && set.file == "f");
}

TEST_THAT(settings_of_the_tool, name_the_key_they_are_refused_for) {
  const auto refused = [](std::string_view text) {
    const auto parsed = parse_settings(*parse_object(text));
    return parsed ? std::string() : parsed.last_reason().key;
  };
  CPPUNIT_ASSERT_EQUAL(std::string("platform"), refused("{}"));
  CPPUNIT_ASSERT_EQUAL(std::string("platform"), refused(R"({"platform":["here"]})"));
  CPPUNIT_ASSERT_EQUAL(std::string("wait_ms"),
                       refused(R"({"platform":["127.0.0.1:1"],"wait_ms":0})"));
  CPPUNIT_ASSERT_EQUAL(
      std::string("failure_domains.vz-jug.agents"),
      refused(R"({"platform":["127.0.0.1:1"],"failure_domains":{"vz-jug":{"agents":[]}}})"));
}

}  // namespace
