// When the record of the versions in service is written, and over what.
#include <chrono>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <variant>
#include <vector>

#include "gateway/version_record.h"
#include "platform/wire_protocol.h"
#include "test_case.h"

namespace hawthornnotch::gateway::internal {
namespace {

constexpr std::string_view text_v1 = R"({"versions":{"forecast":["v1"]},"streams":{}})";
// Time after which a new process writes.
constexpr std::chrono::milliseconds ranking_time{1'100};

// Keeps the transactions and leaves them unanswered.
class recording_store final : public platform::key_value_store {
 public:
  struct call {
    platform::transaction what;
    platform::transaction_callback done;
  };
  void transact(platform::transaction tx, platform::transaction_callback done) override {
    calls.push_back({std::move(tx), std::move(done)});
  }
  void read(std::string /*key*/, platform::read_callback /*done*/) override {}
  void read_prefix(std::string /*prefix*/, platform::read_callback /*done*/) override {}
  void grant_lease(duration /*time_to_live*/, platform::lease_callback /*done*/) override {}
  void keep_alive(std::int64_t /*lease*/, platform::lease_callback /*done*/) override {}
  void revoke(std::int64_t /*lease*/, platform::lease_callback /*done*/) override {}

  std::vector<call> calls;
};

// A process that is old enough to write.
struct writer {
  writer() { std::this_thread::sleep_for(ranking_time); }
  // Takes a server list that was read at this revision of the store.
  void list(const std::string& version, std::int64_t revision) {
    servers::server_entry entry;
    entry.id = "s1";
    entry.service = "forecast";
    entry.software_version = version;
    servers::list_snapshot reading;
    reading.id = static_cast<std::uint64_t>(revision);
    reading.version = {0, revision};
    reading.read_at = state.time.now();
    reading.entries.push_back(entry);
    (void)state.servers.apply(reading, state.time.now());
  }
  void read(std::int64_t revision) {
    const platform::key_value found{std::string(version_record::key()), std::string(text_v1),
                                    revision, 0};
    (void)record.on_read(&found);
  }
  // \returns the revision that the record must have, 0 if it must be absent, for the last write.
  [[nodiscard]] std::int64_t expected_revision() const {
    const platform::condition& condition = store.calls.back().what.conditions.at(0);
    const auto* unchanged = std::get_if<platform::must_be_unchanged>(&condition);
    return unchanged != nullptr ? unchanged->mod_revision : 0;
  }

  adapter::wire_protocol wire;
  gateway_state state{gateway_settings(), wire, relay::peer(), 1};
  recording_store store;
  version_record record{state, store};
};

TEST_THAT(version_record, is_not_written_by_a_list_older_than_it) {
  writer vm;
  vm.read(10);
  vm.list("v0", 9);
  vm.record.update(false);
  CPPUNIT_ASSERT(vm.store.calls.empty());
  vm.list("v2", 11);
  vm.record.update(false);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, vm.store.calls.size());
}

TEST_THAT(version_record, is_written_over_the_one_that_was_read_only) {
  writer vm;
  vm.read(10);
  vm.list("v2", 11);
  vm.record.update(false);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, vm.store.calls.size());
  CPPUNIT_ASSERT_EQUAL(std::int64_t{10}, vm.expected_revision());
}

TEST_THAT(version_record, is_created_if_there_is_none) {
  writer vm;
  (void)vm.record.on_read(nullptr);
  vm.list("v1", 11);
  vm.record.update(false);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, vm.store.calls.size());
  CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, vm.expected_revision());
}

TEST_THAT(version_record, is_left_alone_while_it_names_the_versions_in_service) {
  writer vm;
  vm.read(10);
  vm.list("v1", 11);
  vm.record.update(false);
  CPPUNIT_ASSERT(vm.store.calls.empty());
}

// Another VM has written meanwhile, from a newer list.
TEST_THAT(version_record, is_not_written_again_after_a_conflict_with_a_newer_one) {
  writer vm;
  vm.read(10);
  vm.list("v2", 11);
  vm.record.update(false);
  platform::transaction_outcome conflict;
  conflict.current.push_back({std::string(version_record::key()), std::string(text_v1), 12, 0});
  vm.store.calls.back().done(std::move(conflict));
  std::this_thread::sleep_for(ranking_time);
  vm.record.update(false);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, vm.store.calls.size());
}

}  // namespace
}  // namespace hawthornnotch::gateway::internal
