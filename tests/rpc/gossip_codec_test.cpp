#include "hawthornnotch/rpc/gossip_codec.h"

#include "test_case.h"

namespace hawthornnotch::rpc {
namespace {

constexpr time_point now{100'000};

member::gossip_message sample() {
  member::gossip_message message;
  const entry_vm vm{"vm-1", "i1", "zg-istok", {"127.0.0.1", 7001}, {"127.0.0.1", 7002}, false};
  message.from = {vm, 1'700'000'000'000};
  message.log_id = "l1";
  message.heartbeat_counter = 1'700'000'000'009;
  message.seen = {"l2", 3};
  message.after = {"l1", 5};
  message.upto = {"l1", 7};
  message.newest_fact = 9;
  message.configuration_complete = true;
  backend_server server;
  server.id = "e1";
  server.incarnation = "i1";
  server.failure_domain = "zg-istok";
  server.address = {"127.0.0.1", 9001};
  server.serves = {"m"};
  message.facts = {member::backend_record{server, 12}, member::retired_incarnation{"e1", "i0"},
                   member::vm_record{vm, 3}, member::suspicion{"vm-2", "vm-1", 44},
                   member::loaded_models{"e1", "i1", {"m", "n"}, 55}};
  message.loads = {member::heartbeat{"vm-2", 44}, load_report{"e1", 1, 2, now - duration{300}},
                   peer_waiting{"vm-1", {1, 2, 3, 4}}};
  return message;
}

TEST_THAT(gossip_codec, round_trips_a_message) {
  const auto sent = sample();
  const auto read = decode_gossip(encode(sent, now), now);
  CPPUNIT_ASSERT(read);
  CPPUNIT_ASSERT(read->from == sent.from);
  CPPUNIT_ASSERT_EQUAL(sent.heartbeat_counter, read->heartbeat_counter);
  CPPUNIT_ASSERT_EQUAL(sent.seen.facts, read->seen.facts);
  CPPUNIT_ASSERT_EQUAL(sent.upto.facts, read->upto.facts);
  CPPUNIT_ASSERT_EQUAL(sent.facts.size(), read->facts.size());
  CPPUNIT_ASSERT(std::get<member::backend_record>(read->facts[0]) ==
                 std::get<member::backend_record>(sent.facts[0]));
  CPPUNIT_ASSERT(std::get<member::loaded_models>(read->facts[4]) ==
                 std::get<member::loaded_models>(sent.facts[4]));
  CPPUNIT_ASSERT(std::get<load_report>(read->loads[1]) == std::get<load_report>(sent.loads[1]));
}

TEST_THAT(gossip_codec, rejects_any_truncation_and_mistyped_elements) {
  const std::string text = encode(sample(), now);
  for (std::size_t length = 0; length < text.size(); ++length) {
    CPPUNIT_ASSERT(!decode_gossip(text.substr(0, length), now));
  }
  std::string mistyped = text;
  mistyped.replace(mistyped.find("[\"e1\",1,2"), 9, "[\"e1\",-1,2");
  CPPUNIT_ASSERT(decode_gossip(mistyped, now).last_reason() == codec_fault::wrong_shape);
}

TEST_THAT(gossip_codec, skips_unknown_kinds) {
  std::string text = encode(sample(), now);
  text.replace(text.find("\"retired\""), 9, "\"unheard\"");
  const auto read = decode_gossip(text, now);
  CPPUNIT_ASSERT(read);
  CPPUNIT_ASSERT_EQUAL(std::size_t{4}, read->facts.size());
}

}  // namespace
}  // namespace hawthornnotch::rpc
