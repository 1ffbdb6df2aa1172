// A scheduler on a stepped clock, with plain servers and one model.
#ifndef HAWTHORNNOTCH_TESTS_POLICY_POLICY_CASE_H_
#define HAWTHORNNOTCH_TESTS_POLICY_POLICY_CASE_H_

#include <cppunit/TestAssert.h>

#include <memory>
#include <string>
#include <utility>

#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/policy/scheduler.h"

namespace hawthornnotch::policy {

class policy_case {
 public:
  static constexpr std::uint64_t seed = 11;

  explicit policy_case(const scheduler_settings& settings)
      : decides_(std::move(*scheduler::create(settings, time_, seed))) {}

  scheduler& decides() { return *decides_; }
  stepped_clock& time() { return time_; }

  static backend_server server(int number, bool leaving) {
    backend_server made;
    made.id = "engine-" + std::to_string(number);
    made.incarnation = "first";
    made.serves = {"model"};
    made.slots = slots;
    made.leaving = leaving;
    return made;
  }

  void apply_servers(int count, bool leaving = false) {
    auto fleet = std::make_shared<fleet_snapshot>();
    for (int number = 0; number < count; ++number) {
      fleet->backend_servers.push_back(server(number, leaving));
    }
    entry_vm own;
    own.id = "vm-0";
    fleet->entry_vms.push_back(own);
    decides_->apply(fleet, "vm-0");
  }

  static request_profile profile(tier service_tier) {
    request_profile made;
    made.workspace = "workspace";
    made.serves = "model";
    made.traffic_class.name = "class-" + std::to_string(service_tier);
    made.traffic_class.service_tier = service_tier;
    return made;
  }

  ticket submit(tier service_tier) { return decides_->submit(profile(service_tier)); }

  static constexpr std::uint32_t slots = 4;

 private:
  stepped_clock time_;
  std::unique_ptr<scheduler> decides_;
};

}  // namespace hawthornnotch::policy

#endif  // HAWTHORNNOTCH_TESTS_POLICY_POLICY_CASE_H_
