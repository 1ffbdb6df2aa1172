// Three entry VMs during a release of servers.
#ifndef HAWTHORNNOTCH_TESTS_RESUMED_STREAMS_RELEASE_FLEET_H_
#define HAWTHORNNOTCH_TESTS_RESUMED_STREAMS_RELEASE_FLEET_H_

#include <array>
#include <boost/asio/post.hpp>
#include <chrono>
#include <cstddef>
#include <string>
#include <thread>
#include <tuple>
#include <vector>

#include "gateway_fixture.h"
#include "test_case.h"
#include "versioned_streams.h"

namespace hawthornnotch::test {

// Breaks off each stream that begins, and ends each that goes on.
inline boost::asio::awaitable<void> break_off_first(const http_request& request,
                                                    net::response_writer& writer) {
  if (request.header("Last-Event-Id")) {
    co_await stream_four(request, writer);
  } else {
    co_await stream_two_and_abort(request, writer);
  }
}

// Three entry VMs, each with its own view of the server list; one version serves at first.
class release_fleet {
 public:
  release_fleet() {
    old_server_ = &add_versioned(vm(0), "old", "v1", break_off_first);
    fresh_ = &vm(0).add_server("new", "other", break_off_first);
    for (std::size_t number = 0; number < vms; ++number) {
      list_version(vm(number), "old", old_server_->address(), "v1");
    }
    vm(0).start_without_retries();
    for (std::size_t number = 1; number < vms; ++number) {
      vm(number).start_vm("entry-" + std::to_string(number + 1), {vm(0).peers()});
    }
    await_fleet();
    std::this_thread::sleep_for(list_reading_time);
  }
  gateway_fixture& vm(std::size_t number) { return fleet_.at(number); }
  fake_server& old_server() { return *old_server_; }
  fake_server& fresh() { return *fresh_; }
  void begin_release(std::size_t first_vm) {
    for (std::size_t number = first_vm; number < vms; ++number) {
      list_version(vm(number), "new", fresh_->address(), "v2");
    }
    std::this_thread::sleep_for(list_reading_time);
  }
  // Stops all that the VM does for so long, as a frozen process.
  void freeze(std::size_t number, milliseconds time) {
    boost::asio::post(vm(number).gateway().executor(),
                      [time] { std::this_thread::sleep_for(time); });
  }
  // Ends the processes of all VMs and starts new ones, with this record of versions in the store.
  void restart_all(const std::string& version_record) {
    for (std::size_t number = 0; number < vms; ++number) {
      vm(number).stop();
      vm(number).store().put("hn/streams/fleet/versions", version_record);
      vm(number).start_again({vm((number + 1) % vms).peers()});
    }
    await_fleet();
  }
  // Ends the processes of all VMs; their stores go back to these copies, and the servers register
  // again, the newer one too if it is named.
  void lose_all_and_restore(const std::vector<fake_store::snapshot>& copies, bool newer_registers) {
    for (std::size_t number = 0; number < vms; ++number) {
      vm(number).stop();
      vm(number).store().restore(copies.at(number));
      list_version(vm(number), "old", old_server_->address(), "v1");
      if (newer_registers) {
        list_version(vm(number), "new", fresh_->address(), "v2");
      }
    }
    vm(0).start_again();
    for (std::size_t number = 1; number < vms; ++number) {
      vm(number).start_again({vm(0).peers()});
    }
    await_fleet();
  }
  // \returns what the stores of all VMs hold.
  std::vector<fake_store::snapshot> copy_stores() {
    std::vector<fake_store::snapshot> copies;
    copies.reserve(vms);
    for (gateway_fixture& each : fleet_) {
      copies.push_back(each.store().take_snapshot());
    }
    return copies;
  }
  // \returns a stream that began at the newer version at this VM.
  std::string begin_at_new_version(std::size_t number) {
    std::string begun;
    for (int tried = 0; tried < 3 * streams && begun.empty(); ++tried) {
      const std::string id = "n" + std::to_string(tried);
      std::ignore = vm(number).call(make_stream(id));
      begun = began_at(*fresh_, id) ? id : "";
    }
    CPPUNIT_ASSERT(!begun.empty());
    return begun;
  }
  // Ends the process of a VM and starts a new one.
  void restart(std::size_t number) {
    vm(number).restart({vm(0).peers()});
    await_fleet();
  }

 private:
  static constexpr std::size_t vms = 3;
  void await_fleet() {
    for (gateway_fixture& each : fleet_) {
      each.await([&] { return each.metric("hawthornnotch_live_entry_vms") == double{vms}; });
    }
  }
  std::array<gateway_fixture, vms> fleet_;
  fake_server* old_server_ = nullptr;
  fake_server* fresh_ = nullptr;
};

}  // namespace hawthornnotch::test

#endif  // HAWTHORNNOTCH_TESTS_RESUMED_STREAMS_RELEASE_FLEET_H_
