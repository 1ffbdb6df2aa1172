#include "hawthornnotch/routes/route_table.h"

#include "test_case.h"

namespace hawthornnotch::routes {
namespace {

route make_route(std::string name, std::string host, std::string prefix) {
  route made;
  made.name = std::move(name);
  made.host = std::move(host);
  made.prefix = std::move(prefix);
  made.services = {{"forecast", 1}};
  return made;
}

routing_config two_prefixes() {
  routing_config config;
  config.version = 5;
  config.routes = {make_route("all", "ice.example", "/"),
                   make_route("bulletins", "ice.example", "/bulletins/")};
  config.workspaces = {{"zagreb", {"key-z"}, std::nullopt}, {"split", {"key-s"}, 1U}};
  config.api_keys_required = true;
  return config;
}

std::string found_name(const route_match& match) {
  const auto* found = std::get_if<matched>(&match);
  return found == nullptr ? "" : found->found->name;
}

TEST_THAT(route_table, takes_the_longest_prefix_of_the_host) {
  const auto table = route_table::create(two_prefixes());
  CPPUNIT_ASSERT_EQUAL(std::string("bulletins"),
                       found_name(table->find({"ice.example", "/bulletins/7", "key-z"})));
  CPPUNIT_ASSERT_EQUAL(std::string("all"),
                       found_name(table->find({"ice.example", "/bulletinsX", "key-z"})));
  CPPUNIT_ASSERT(std::holds_alternative<no_such_route>(
      table->find({"other.example", "/bulletins/7", "key-z"})));
}

TEST_THAT(route_table, gives_the_workspace_that_holds_the_key) {
  const auto table = route_table::create(two_prefixes());
  const route_match match = table->find({"ice.example", "/", "key-s"});
  CPPUNIT_ASSERT_EQUAL(std::string("split"), std::get<matched>(match).workspace->name);
}

TEST_THAT(route_table, refuses_an_unknown_key_but_on_anonymous_routes) {
  routing_config config = two_prefixes();
  config.routes.front().anonymous = true;
  const auto table = route_table::create(std::move(config));
  CPPUNIT_ASSERT(std::holds_alternative<unknown_api_key>(
      table->find({"ice.example", "/bulletins/7", "stolen"})));
  const route_match anonymous = table->find({"ice.example", "/x", ""});
  CPPUNIT_ASSERT(std::get<matched>(anonymous).workspace == nullptr);
}

TEST_THAT(route_table, refuses_every_key_when_the_last_one_is_taken_away) {
  routing_config config = two_prefixes();
  config.workspaces.clear();
  const auto table = route_table::create(std::move(config));
  CPPUNIT_ASSERT(
      std::holds_alternative<unknown_api_key>(table->find({"ice.example", "/", "key-z"})));
}

TEST_THAT(route_table, splits_by_weight) {
  route split = make_route("split", "ice.example", "/");
  split.services = {{"old", 90}, {"new", 10}};
  CPPUNIT_ASSERT_EQUAL(std::string("old"), route_table::pick_service(split, 0.0));
  CPPUNIT_ASSERT_EQUAL(std::string("old"), route_table::pick_service(split, 0.89));
  CPPUNIT_ASSERT_EQUAL(std::string("new"), route_table::pick_service(split, 0.91));
}

// Engines preempt by urgency: an urgent route must stay ahead of others of the same workspace.
TEST_THAT(route_table, orders_by_workspace_and_then_by_route) {
  routing_config config = two_prefixes();
  config.routes.front().priority = 2;
  config.routes.back().priority = 0;
  config.workspaces.front().priority = 0;
  const auto table = route_table::create(std::move(config));
  const route& bulk = table->config().routes.front();
  const route& urgent = table->config().routes.back();
  const workspace_access& first = table->config().workspaces.front();
  const workspace_access& second = table->config().workspaces.back();
  CPPUNIT_ASSERT_EQUAL(0U, table->urgency(urgent, &first));
  CPPUNIT_ASSERT_EQUAL(1U, table->urgency(bulk, &first));
  CPPUNIT_ASSERT_EQUAL(2U, table->urgency(urgent, &second));
  CPPUNIT_ASSERT_EQUAL(3U, table->urgency(bulk, &second));
  CPPUNIT_ASSERT_EQUAL(1U, table->urgency(bulk, nullptr));
}

TEST_THAT(config_holder, never_goes_back) {
  config_holder held;
  routing_config config = two_prefixes();
  CPPUNIT_ASSERT(held.offer(route_table::create(config)));
  CPPUNIT_ASSERT(!held.offer(route_table::create(config)));
  config.version = 4;
  CPPUNIT_ASSERT(!held.offer(route_table::create(config)));
  CPPUNIT_ASSERT_EQUAL(std::int64_t{5}, held.version());
}

route make_stream(std::string name, duration target_gap) {
  route made = make_route(std::move(name), "ice.example", "/");
  made.kind = repeatability::event_stream;
  made.target_gap = target_gap;
  return made;
}

// \returns names of the routes whose streams are pause-sensitive.
std::vector<std::string> sensitive_routes(std::uint32_t tokens_per_event) {
  routing_config config;
  config.routes = {make_stream("bulletins", duration{1'000}), make_stream("queries", duration{250}),
                   make_route("orders", "ice.example", "/orders/")};
  config.services = {{"forecast", engine_profile{48, tokens_per_event}}};
  const auto table = route_table::create(std::move(config));
  std::vector<std::string> names;
  for (const route& each : table->config().routes) {
    if (table->is_gap_sensitive(each)) {
      names.push_back(each.name);
    }
  }
  return names;
}

TEST_THAT(route_table, names_the_streams_that_bear_much_shorter_pauses_than_others) {
  CPPUNIT_ASSERT(sensitive_routes(5) == std::vector<std::string>{"queries"});
}

TEST_THAT(route_table, names_no_stream_that_bears_a_prompt_read_between_any_two_tokens) {
  CPPUNIT_ASSERT(sensitive_routes(2).empty());
}

}  // namespace
}  // namespace hawthornnotch::routes
