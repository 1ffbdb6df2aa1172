// Entry VMs with one store, of which one can be cut off from the others.
#ifndef HAWTHORNNOTCH_TESTS_RESUMED_STREAMS_ONE_STORE_FLEET_H_
#define HAWTHORNNOTCH_TESTS_RESUMED_STREAMS_ONE_STORE_FLEET_H_

#include <algorithm>
#include <array>
#include <cstddef>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "gateway_fixture.h"
#include "partitioned_client.h"
#include "release_fleet.h"
#include "test_case.h"
#include "versioned_streams.h"

namespace hawthornnotch::test {

// Four servers serve at first, of one version; a release adds four of another.
class one_store_fleet {
 public:
  static constexpr std::size_t vms = 3;
  // The VM that can be cut off.
  static constexpr std::size_t apart = 2;

  one_store_fleet() {
    for (std::size_t number = 0; number < servers_of_version; ++number) {
      const std::string tail = std::to_string(number);
      old_servers_.push_back(&add_versioned(vm(0), "old-" + tail, "v1", break_off_first));
      fresh_servers_.push_back(&vm(0).add_server("new-" + tail, "other", break_off_first));
    }
    vm(apart).connect_through(std::make_unique<partitioned_client>(partition_));
    vm(0).start_without_retries();
    for (std::size_t number = 1; number < vms; ++number) {
      vm(number).share_store_of(vm(0));
      vm(number).start_vm(name(number), {vm(0).peers()});
    }
    await_fleet();
    std::this_thread::sleep_for(list_reading_time);
  }
  gateway_fixture& vm(std::size_t number) { return fleet_.at(number); }
  fake_store& store() { return vm(0).store(); }
  static std::string name(std::size_t number) { return "entry-" + std::to_string(number + 1); }
  void begin_release() {
    for (fake_server* each : fresh_servers_) {
      list_version(vm(0), each->id(), each->address(), "v2");
    }
    std::this_thread::sleep_for(list_reading_time);
  }
  void restart_in_turn() {
    for (std::size_t number = 0; number < vms; ++number) {
      if (number == apart) {
        vm(apart).stop();
        vm(apart).connect_through(std::make_unique<partitioned_client>(partition_));
        vm(apart).start_again({vm(0).peers()});
      } else {
        vm(number).restart({vm((number + 1) % vms).peers()});
      }
      await_fleet();
    }
  }
  // Cuts one VM off from the others, and all from the store.
  void cut_off() {
    take_store_away();
    partition_->cut(vm(0).peers(), partition_kind::silent);
    partition_->cut(vm(1).peers(), partition_kind::silent);
  }
  void lose_all() {
    for (gateway_fixture& each : fleet_) {
      each.stop();
    }
  }
  void start_all() {
    vm(0).start_again();
    for (std::size_t number = 1; number < vms; ++number) {
      vm(number).start_again({vm(0).peers()});
    }
    await_fleet();
  }
  // Takes the store away, and lets each VM notice it by the record of a stream.
  void take_store_away() {
    constexpr milliseconds detection_time{1'000};
    store().set_unavailable(true);
    for (std::size_t number = 0; number < vms; ++number) {
      std::ignore = vm(number).call(make_stream("notices-" + std::to_string(number)));
    }
    std::this_thread::sleep_for(detection_time);
  }
  void crash_old_servers() {
    for (fake_server* each : old_servers_) {
      each->stop_accepting();
    }
  }
  // Begins streams at the VM.
  void begin_streams(std::size_t at) {
    constexpr int tries = 24;
    for (int number = 0; number < tries; ++number) {
      const std::string id = "s" + std::to_string(at) + "-" + std::to_string(number);
      auto answer = vm(at).call(make_stream(id));
      // The servers break off what has begun; a VM that may retry makes it whole.
      if (answer && answer->status != status_ok) {
        turned_away_.push_back(std::move(*answer));
      } else {
        begun_.push_back(id);
      }
    }
  }
  // Takes all streams up at the VM.  Each has to go on at the version that began it.
  void expect_all_go_on(std::size_t at) {
    std::size_t newer = 0;
    for (const std::string& id : begun_) {
      const std::string resumed = "r" + id;
      const auto answer = vm(at).call(make_resumption(resumed, id));
      CPPUNIT_ASSERT(answer);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(id, 200U, answer->status);
      const bool is_newer = at_version(fresh_servers_, id);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(id, is_newer, was_received(fresh_servers_, resumed));
      newer += is_newer ? 1 : 0;
    }
    CPPUNIT_ASSERT(newer > 0);
  }
  // \returns the answers to streams that began nowhere.
  [[nodiscard]] const std::vector<http_response>& turned_away() const { return turned_away_; }
  [[nodiscard]] const std::vector<std::string>& begun() const { return begun_; }

 private:
  static constexpr std::size_t servers_of_version = 4;
  static constexpr unsigned status_ok = 200;
  void await_fleet() {
    for (gateway_fixture& each : fleet_) {
      each.await([&] { return each.metric("hawthornnotch_live_entry_vms") == double{vms}; });
    }
  }
  static bool at_version(const std::vector<fake_server*>& servers, const std::string& id) {
    return std::any_of(servers.begin(), servers.end(),
                       [&](fake_server* each) { return began_at(*each, id); });
  }
  static bool was_received(const std::vector<fake_server*>& servers, const std::string& id) {
    return std::any_of(servers.begin(), servers.end(),
                       [&](fake_server* each) { return received_attempt(*each, id); });
  }

  std::array<gateway_fixture, vms> fleet_;
  std::shared_ptr<network_partition> partition_ = std::make_shared<network_partition>();
  std::vector<fake_server*> old_servers_;
  std::vector<fake_server*> fresh_servers_;
  std::vector<std::string> begun_;
  std::vector<http_response> turned_away_;
};

}  // namespace hawthornnotch::test

#endif  // HAWTHORNNOTCH_TESTS_RESUMED_STREAMS_ONE_STORE_FLEET_H_
