#include "hawthornnotch/rpc/router_rpc.h"

#include "hawthornnotch/rpc/method_server.h"
#include "rpc/blocking_call.h"
#include "test_case.h"

namespace hawthornnotch::rpc {
namespace {

// Connects client and server without a socket.
call_transport direct(router_rpc_server& server) {
  return [&server](const std::string& request, std::string& answer) {
    answer = server.handle(request);
    return true;
  };
}

router_snapshot sample_snapshot(time_point now) {
  router_snapshot snapshot;
  snapshot.agent_incarnation = "a1";
  snapshot.version = 7;
  snapshot.complete = true;
  backend_server server;
  server.id = "engine-1";
  server.incarnation = "i1";
  server.failure_domain = "zg-istok";
  server.address = {"127.0.0.1", 9001};
  server.serves = {"model \"q\""};
  server.leaving = true;
  snapshot.fleet.backend_servers.push_back(server);
  snapshot.fleet.reports.push_back({"engine-1", 3, 4, now - duration{250}});
  snapshot.fleet.waiting.push_back({"vm-2", {1, 2, 3, 4}});
  return snapshot;
}

TEST_THAT(router_rpc, transfers_a_snapshot_and_returns_the_status) {
  router_snapshot seen;
  const auto apply = [&seen](router_snapshot snapshot) {
    seen = std::move(snapshot);
    router_status status;
    status.incarnation = "r1";
    status.applied_version = seen.version;
    status.revisions["zimska"] = 4;
    return status;
  };
  const auto server = router_rpc_server::create(apply, [] { return router_status(); });
  const time_point now = system_clock().now();
  const router_snapshot sent = sample_snapshot(now);
  const auto answer = blocking_call(std::string(apply_method), encode(sent, now), direct(*server));
  CPPUNIT_ASSERT(answer.fault == call_fault::none);
  const auto status = decode_router_status(answer.body);
  CPPUNIT_ASSERT(status);
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, status->applied_version);
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, status->revisions.at("zimska"));
  CPPUNIT_ASSERT(seen.complete);
  CPPUNIT_ASSERT(seen.fleet.backend_servers == sent.fleet.backend_servers);
  CPPUNIT_ASSERT_EQUAL(3U, seen.fleet.waiting.at(0).by_tier[2]);
  CPPUNIT_ASSERT((system_clock().now() - seen.fleet.reports.at(0).measured).ms >= 250);
}

TEST_THAT(router_rpc, answers_malformed_input_with_an_error_and_applies_nothing) {
  int applied = 0;
  const auto apply = [&applied](router_snapshot /*snapshot*/) {
    ++applied;
    return router_status();
  };
  const auto server = router_rpc_server::create(apply, [] { return router_status(); });
  for (const std::string body : {"", "{", "[]", "{\"version\":-1}", "{\"version\":1}"}) {
    const auto answer = blocking_call(std::string(apply_method), body, direct(*server));
    CPPUNIT_ASSERT(answer.fault == call_fault::refused);
  }
  const std::string deep(100'000, '[');
  for (const std::string& text :
       {std::string("rubbish"), std::string("{}"), deep, std::string(max_request_bytes + 1, ' ')}) {
    CPPUNIT_ASSERT(server->handle(text).find("\"error\"") != std::string::npos);
  }
  CPPUNIT_ASSERT_EQUAL(0, applied);
}

TEST_THAT(blocking_call, distinguishes_a_lost_response_from_a_malformed_one) {
  const call_transport lost = [](const std::string&, std::string&) { return false; };
  CPPUNIT_ASSERT(blocking_call("status", "", lost).fault == call_fault::transport);
  for (const std::string text : {"", "null", "[]", "{\"jsonrpc\":\"2.0\",\"id\":1,\"result\":5}"}) {
    const call_transport malformed = [&text](const std::string&, std::string& answer) {
      answer = text;
      return true;
    };
    CPPUNIT_ASSERT(blocking_call("status", "", malformed).fault == call_fault::malformed_answer);
  }
}

}  // namespace
}  // namespace hawthornnotch::rpc
