#include "hawthornnotch/router/classify.h"

#include "test_case.h"

namespace hawthornnotch::router {
namespace {

workspace_parameters workspace_with_key(std::string_view key) {
  workspace_parameters workspace;
  workspace.workspace = "dispatch";
  workspace.revision = 3;
  workspace.key_hashes = {sha256_hex(key)};
  workspace.default_class = "chat";
  workspace.classes.resize(2);
  workspace.classes[0].name = "chat";
  workspace.classes[0].max_tokens = 100;
  workspace.classes[1].name = "order";
  workspace.classes[1].idempotent = false;
  workspace.models = {"m", "s"};
  return workspace;
}

std::shared_ptr<const control_view> control() {
  static control_state state;
  fleet_snapshot fleet;
  fleet.backend_servers.resize(2);
  fleet.backend_servers[0].serves = {"m", "other"};
  fleet.backend_servers[1].kind = backend_kind::service;
  fleet.backend_servers[1].serves = {"s"};
  workspace_table workspaces;
  workspaces["dispatch"] = workspace_with_key("secret");
  state.apply("agent", 1, fleet, workspaces, true);
  return state.view();
}

net::http_request chat(std::string body) {
  net::http_request request{"POST", "/v1/chat/completions", {}, std::move(body)};
  request.headers.emplace_back("Authorization", "Bearer secret");
  return request;
}

std::string_view code_for(const net::http_request& request) {
  const auto result = classify(request, "id", *control(), true);
  return result ? "accepted" : to_string(result.last_reason().code);
}

constexpr std::string_view valid_body =
    R"({"model":"m","messages":[{"role":"user","content":"x"}]})";

TEST_THAT(classify, rejects_invalid_bodies_with_specific_codes) {
  const std::pair<const char*, std::string_view> cases[] = {
      {"", "malformed_body"},
      {"[]", "malformed_body"},
      {"{\"model\":", "malformed_body"},
      {R"({"messages":[{"role":"user","content":"x"}]})", "malformed_body"},
      {R"({"model":7,"messages":[{"role":"user","content":"x"}]})", "malformed_body"},
      {R"({"model":"m"})", "malformed_body"},
      {R"({"model":"m","messages":[]})", "malformed_body"},
      {R"({"model":"m","messages":[7]})", "malformed_body"},
      {R"({"model":"m","stream":"yes","messages":[{"role":"user"}]})", "malformed_body"},
      {R"({"model":"m","max_tokens":-1,"messages":[{"role":"user"}]})", "malformed_body"},
      {R"({"model":"m","max_tokens":1.5,"messages":[{"role":"user"}]})", "malformed_body"},
      {R"({"model":"m","n":2,"messages":[{"role":"user"}]})", "unsupported_request"},
      {R"({"model":"none","messages":[{"role":"user"}]})", "unknown_model"},
      {R"({"model":"other","messages":[{"role":"user"}]})", "model_not_allowed"},
      {R"({"model":"s","messages":[{"role":"user"}]})", "unknown_model"},
  };
  for (const auto& [body, code] : cases) {
    CPPUNIT_ASSERT_EQUAL_MESSAGE(body, std::string(code), std::string(code_for(chat(body))));
  }
  CPPUNIT_ASSERT_EQUAL(std::string("accepted"),
                       std::string(code_for(chat(std::string(valid_body)))));
}

TEST_THAT(classify, rejects_a_body_nested_too_deep) {
  const std::string body = R"({"model":"m","messages":)" + std::string(10'000, '[');
  CPPUNIT_ASSERT_EQUAL(std::string("malformed_body"), std::string(code_for(chat(body))));
}

TEST_THAT(classify, takes_the_workspace_from_the_bearer_key_only) {
  net::http_request request = chat(std::string(valid_body));
  request.headers[0].second = "Bearer wrong";
  request.headers.emplace_back("x-hawthornnotch-workspace", "dispatch");
  CPPUNIT_ASSERT_EQUAL(std::string("unauthorized"), std::string(code_for(request)));
}

TEST_THAT(classify, requires_an_idempotency_key_for_a_non_idempotent_class) {
  net::http_request request = chat(std::string(valid_body));
  request.headers.emplace_back("x-hawthornnotch-class", "order");
  CPPUNIT_ASSERT_EQUAL(std::string("missing_idempotency_key"), std::string(code_for(request)));
  request.headers.emplace_back("Idempotency-Key", std::string(201, 'k'));
  CPPUNIT_ASSERT_EQUAL(std::string("bad_idempotency_key"), std::string(code_for(request)));
  request.headers.back().second = "order 1";
  CPPUNIT_ASSERT_EQUAL(std::string("bad_idempotency_key"), std::string(code_for(request)));
  request.headers.back().second = "order-1";
  CPPUNIT_ASSERT_EQUAL(std::string("accepted"), std::string(code_for(request)));
}

TEST_THAT(classify, keeps_method_path_and_query_of_a_service_call) {
  net::http_request request{"PUT", "/services/s/orders/7?crew=3", {}, "{}"};
  request.headers.emplace_back("Authorization", "Bearer secret");
  const auto result = classify(request, "id", *control(), true);
  CPPUNIT_ASSERT(result.has_value());
  const auto& call = std::get<service_call>(result->call);
  CPPUNIT_ASSERT_EQUAL(std::string("PUT"), call.method);
  CPPUNIT_ASSERT_EQUAL(std::string("/orders/7?crew=3"), call.target);
  CPPUNIT_ASSERT_EQUAL(std::string("s"), result->profile.serves);
}

TEST_THAT(classify, caps_max_tokens_at_the_limit_of_the_class) {
  const auto result =
      classify(chat(R"({"model":"m","max_tokens":5000,"messages":[{"role":"user"}]})"), "id",
               *control(), true);
  CPPUNIT_ASSERT(result.has_value());
  CPPUNIT_ASSERT_EQUAL(100U, std::get<model_call>(result->call).max_tokens);
}

TEST_THAT(classify, fingerprints_differ_by_body_and_target) {
  const auto fingerprint = [](std::string target, std::string body) {
    net::http_request request{"POST", std::move(target), {}, std::move(body)};
    request.headers.emplace_back("Authorization", "Bearer secret");
    request.headers.emplace_back("x-hawthornnotch-class", "order");
    request.headers.emplace_back("Idempotency-Key", "k");
    return classify(request, "id", *control(), true)->fingerprint;
  };
  CPPUNIT_ASSERT(fingerprint("/services/s/a", "1") == fingerprint("/services/s/a", "1"));
  CPPUNIT_ASSERT(fingerprint("/services/s/a", "1") != fingerprint("/services/s/a", "2"));
  CPPUNIT_ASSERT(fingerprint("/services/s/a", "1") != fingerprint("/services/s/b", "1"));
}

TEST_THAT(control_state, never_returns_a_workspace_to_an_older_revision) {
  control_state state;
  workspace_table table;
  table["w"].revision = 7;
  CPPUNIT_ASSERT(state.apply("agent-1", 5, {}, table, true));
  table["w"].revision = 6;
  CPPUNIT_ASSERT(!state.apply("agent-1", 4, {}, table, true));
  CPPUNIT_ASSERT(state.apply("agent-2", 1, {}, table, true));
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, state.view()->workspaces.at("w").revision);
}

TEST_THAT(control_state, keeps_a_server_leaving_for_its_whole_incarnation) {
  control_state state;
  fleet_snapshot fleet;
  fleet.backend_servers.resize(1);
  fleet.backend_servers[0].id = "engine-1";
  fleet.backend_servers[0].incarnation = "a";
  fleet.backend_servers[0].leaving = true;
  state.apply("agent-1", 1, fleet, {}, true);
  fleet.backend_servers[0].leaving = false;
  state.apply("agent-2", 1, fleet, {}, true);
  CPPUNIT_ASSERT(state.view()->fleet->backend_servers[0].leaving);
  fleet.backend_servers[0].incarnation = "b";
  state.apply("agent-2", 2, fleet, {}, true);
  CPPUNIT_ASSERT(!state.view()->fleet->backend_servers[0].leaving);
}

}  // namespace
}  // namespace hawthornnotch::router
