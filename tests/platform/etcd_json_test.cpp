#include "hawthornnotch/platform/etcd_json.h"

#include <string>

#include "hawthornnotch/platform/base64.h"
#include "test_case.h"

namespace {

using namespace hawthornnotch;
using namespace hawthornnotch::platform;

TEST_THAT(base64, round_trips_any_bytes) {
  std::string bytes;
  for (int length = 0; length < 260; ++length) {
    CPPUNIT_ASSERT_EQUAL(bytes, decode_base64(encode_base64(bytes)).value_or("none"));
    bytes += static_cast<char>(length);
  }
}

TEST_THAT(base64, rejects_invalid_encodings) {
  for (const char* text : {"a", "ab=", "a?b=", "abc", "====="}) {
    CPPUNIT_ASSERT_MESSAGE(text, !decode_base64(text).has_value());
  }
}

TEST_THAT(prefix_range, ends_after_the_last_key_with_the_prefix) {
  CPPUNIT_ASSERT_EQUAL(std::string("hn0"), prefix_end("hn/"));
  CPPUNIT_ASSERT_EQUAL(std::string("b"), prefix_end("a\xff"));
  CPPUNIT_ASSERT_EQUAL(std::string(1, '\0'), prefix_end("\xff"));
}

TEST_THAT(range_response, is_rejected_if_malformed_or_truncated) {
  const char* bad[] = {
      "",
      "[]",
      "{}",
      R"({"header":{}})",
      R"({"header":{"revision":"x"}})",
      R"({"header":{"revision":"5"},"kvs":{}})",
      R"({"header":{"revision":"5"},"kvs":[7]})",
      R"({"header":{"revision":"5"},"kvs":[{"key":"!!!!","mod_revision":"1"}]})",
      R"({"header":{"revision":"5"},"kvs":[{"key":"YQ==","mod_revision":"0"}]})",
      R"({"header":{"revision":"5"},"more":true})",
  };
  for (const char* text : bad) {
    CPPUNIT_ASSERT_MESSAGE(text, !parse_range(text).has_value());
  }
  const auto empty = parse_range(R"({"header":{"revision":"5"}})");
  CPPUNIT_ASSERT(empty.has_value() && empty->found.empty());
  CPPUNIT_ASSERT_EQUAL(std::int64_t{5}, empty->revision);
}

TEST_THAT(watch_message, distinguishes_progress_deletion_and_cancellation) {
  const auto progress = parse_watch_message(R"({"result":{"header":{"revision":"2"}}})");
  CPPUNIT_ASSERT(progress && progress->events.empty() && !progress->cancelled);
  const auto erased = parse_watch_message(
      R"({"result":{"events":[{"type":"DELETE","kv":{"key":"YQ==","mod_revision":"3"}}]}})");
  CPPUNIT_ASSERT(erased && erased->events.size() == 1 && erased->events[0].erased);
  const auto ended = parse_watch_message(R"({"result":{"canceled":true,"compact_revision":"9"}})");
  CPPUNIT_ASSERT(ended && ended->cancelled);
  CPPUNIT_ASSERT(!parse_watch_message(R"({"error":{"grpc_code":14}})"));
}

TEST_THAT(vm_list, decodes_both_roles_and_rejects_an_unknown_one) {
  const auto list = parse_vm_list(
      R"([{"role":"backend","id":"b1","incarnation":"i1","failure_domain":"bayangol",
           "address":"127.0.0.1:81","kind":"engine","serves":["m"],"slots":4,"state":"leaving"},
          {"role":"entry","id":"e1","incarnation":"i2","failure_domain":"bayangol",
           "address":"127.0.0.1:82","state":"live"}])");
  CPPUNIT_ASSERT(list && list->size() == 2);
  const auto& server = std::get<backend_server>(list->front());
  CPPUNIT_ASSERT(server.leaving && server.slots == 4 && server.address.port == 81);
  CPPUNIT_ASSERT(!std::get<entry_vm>(list->back()).leaving);
  CPPUNIT_ASSERT(!parse_vm_list(R"([{"role":"king","id":"b1","state":"live"}])"));
  CPPUNIT_ASSERT(!parse_vm_list("{}"));
}

}  // namespace
