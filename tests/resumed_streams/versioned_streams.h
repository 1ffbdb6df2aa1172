// Streams of servers that are listed with the version of their software.
#ifndef HAWTHORNNOTCH_TESTS_RESUMED_STREAMS_VERSIONED_STREAMS_H_
#define HAWTHORNNOTCH_TESTS_RESUMED_STREAMS_VERSIONED_STREAMS_H_

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

#include "gateway_fixture.h"
#include "test_case.h"

namespace hawthornnotch::test {

using std::chrono::milliseconds;

// Lists a server with the version of its software.
inline void list_version(gateway_fixture& fixture, const std::string& id, const endpoint& address,
                         const std::string& version) {
  fixture.store().put("servers/" + id, entry_text("forecast", address, false, 1, version));
}

inline fake_server& add_versioned(gateway_fixture& fixture, const std::string& id,
                                  const std::string& version, fake_server::behaviour answers) {
  fake_server& server = fixture.add_server(id, "forecast", std::move(answers));
  list_version(fixture, id, server.address(), version);
  return server;
}

inline http_request make_stream(const std::string& id) {
  return make_request("POST", "/draft/", id);
}

// Takes the stream up after its second event.
inline http_request make_resumption(const std::string& id, const std::string& resumed) {
  http_request request = make_stream(id);
  request.headers.emplace_back("Last-Event-Id", "2");
  if (!resumed.empty()) {
    request.headers.emplace_back("Resumes", resumed);
  }
  return request;
}

inline std::size_t resumptions_at(fake_server& server) {
  const auto received = server.received();
  return static_cast<std::size_t>(std::count_if(
      received.begin(), received.end(),
      [](const http_request& each) { return each.header("Last-Event-Id").has_value(); }));
}

constexpr int streams = 8;
// Time after which an entry VM knows a change of the server list.
constexpr milliseconds list_reading_time{2'500};
// Time after which the platform's store holds the origins of streams.
constexpr milliseconds record_writing_time{1'500};

// Waits until the platform's store holds the version in service.
inline void await_recorded(gateway_fixture& fixture, const std::string& version) {
  fixture.await([&] {
    const auto record = fixture.store().find("hn/streams/fleet/versions");
    return record && record->value.find('"' + version + '"') != std::string::npos;
  });
}

// \returns whether a stream of this id began at the server.
inline bool began_at(fake_server& server, const std::string& id) {
  const auto received = server.received();
  return std::any_of(received.begin(), received.end(), [&](const http_request& each) {
    return each.header("X-Attempt-Id") == id && !each.header("Last-Event-Id");
  });
}

inline bool received_attempt(fake_server& server, const std::string& id) {
  const auto received = server.received();
  return std::any_of(received.begin(), received.end(),
                     [&](const http_request& each) { return each.header("X-Attempt-Id") == id; });
}

// Takes a stream up that nobody knows, or whose version has left: it must be refused, unexecuted.
inline void expect_refused(gateway_fixture& fixture, const std::string& resumed) {
  const auto answer = fixture.call(make_resumption("b", resumed));
  CPPUNIT_ASSERT(answer);
  CPPUNIT_ASSERT_EQUAL(503U, answer->status);
}

}  // namespace hawthornnotch::test

#endif  // HAWTHORNNOTCH_TESTS_RESUMED_STREAMS_VERSIONED_STREAMS_H_
