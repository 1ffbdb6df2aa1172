// Which entry VMs are known to declare the versions of their streams.
#include "hawthornnotch/relay/exchange.h"
#include "hawthornnotch/relay/peer_set.h"
#include "test_case.h"

namespace hawthornnotch::relay {
namespace {

using namespace literals;

constexpr time_point start{1'000'000};

peer make_peer(const std::string& vm, std::uint64_t heartbeat, bool declares) {
  peer made;
  made.vm = vm;
  made.failure_domain = "zg-istok";
  made.address = {"10.0.0.1", 7'000};
  made.incarnation = "one";
  made.heartbeat = heartbeat;
  made.declares_versions = declares;
  return made;
}

exchange_message message_from(const peer& from) {
  exchange_message message;
  message.from = from;
  return message;
}

// VMs of an earlier build refuse a message with a field that they do not know.
TEST_THAT(exchange, names_a_declaring_vm_only_where_it_is_set) {
  CPPUNIT_ASSERT(encode_peer(make_peer("b", 1, false)).find("declares") == std::string::npos);
  const auto decoded = decode_peer(encode_peer(make_peer("b", 1, true)));
  CPPUNIT_ASSERT(decoded);
  CPPUNIT_ASSERT(decoded->declares_versions);
}

// A VM of an earlier build may have begun streams that it never declared.
TEST_THAT(peer_set, does_not_vouch_for_a_vm_that_does_not_declare_dead_or_alive) {
  peer_set peers(make_peer("a", 1, true), {}, {});
  CPPUNIT_ASSERT(peers.all_declare_versions());
  peers.merge_message(message_from(make_peer("b", 1, true)), start);
  CPPUNIT_ASSERT(peers.all_declare_versions());
  peers.merge_message(message_from(make_peer("c", 1, false)), start);
  CPPUNIT_ASSERT(!peers.all_declare_versions());
  peers.merge_message(message_from(make_peer("b", 2, true)), start + 30_s);
  CPPUNIT_ASSERT(!peers.all_declare_versions());
  peers.merge_message(message_from(make_peer("b", 3, true)), start + 61_s);
  CPPUNIT_ASSERT(peers.all_declare_versions());
}

// Messages that passed a VM of an earlier build lack the field.
TEST_THAT(peer_set, remembers_that_a_vm_declares_until_its_process_ends) {
  peer_set peers(make_peer("a", 1, true), {}, {});
  peers.merge_message(message_from(make_peer("b", 1, true)), start);
  exchange_message forwarded = message_from(make_peer("c", 1, true));
  forwarded.peers = {make_peer("b", 2, false)};
  peers.merge_message(forwarded, start);
  CPPUNIT_ASSERT(peers.all_declare_versions());
  peer other_build = make_peer("b", 1, false);
  other_build.incarnation = "two";
  peers.merge_message(message_from(other_build), start);
  CPPUNIT_ASSERT(!peers.all_declare_versions());
}

// Guards against resumed streams that are refused while a lost VM comes back: its entry in the
// store says nothing of what it declares.
TEST_THAT(peer_set, keeps_what_a_vm_declared_until_its_new_process_is_heard) {
  peer_set peers(make_peer("a", 1, true), {}, {});
  peers.merge_message(message_from(make_peer("b", 1, true)), start);
  peer entry = make_peer("b", 2, false);
  entry.incarnation = "two";
  peers.merge_store_entry(entry, start);
  CPPUNIT_ASSERT(peers.all_declare_versions());
  peer other_build = make_peer("b", 3, false);
  other_build.incarnation = "three";
  peers.merge_message(message_from(other_build), start);
  CPPUNIT_ASSERT(!peers.all_declare_versions());
}

}  // namespace
}  // namespace hawthornnotch::relay
