#include "hawthornnotch/ctl/announcement.h"

#include <boost/json/serialize.hpp>

#include "hawthornnotch/base/result.h"

namespace hawthornnotch::ctl {
namespace {

announcement_write make_write(const fleet_vm& vm) {
  return std::visit(
      [](const auto& announced_vm) {
        return announcement_write{boost::json::serialize(to_json(announced_vm))};
      },
      vm);
}

}  // namespace

announcement_decision decide_announce(const std::optional<fleet_vm>& stored, const fleet_vm& next) {
  if (!stored || incarnation_of(*stored) != incarnation_of(next)) {
    return make_write(next);
  }
  if (is_leaving(*stored) && !is_leaving(next)) {
    return announcement_already_leaving{};
  }
  if (*stored == next) {
    return announcement_unchanged{};
  }
  return make_write(next);
}

announcement_decision decide_leave(const std::optional<fleet_vm>& stored) {
  if (!stored) {
    return announcement_absent{};
  }
  if (is_leaving(*stored)) {
    return announcement_unchanged{};
  }
  fleet_vm next = *stored;
  std::visit([](auto& vm) { vm.leaving = true; }, next);
  return make_write(next);
}

std::string id_of(const fleet_vm& vm) {
  return std::visit([](const auto& announced_vm) { return announced_vm.id; }, vm);
}

std::string incarnation_of(const fleet_vm& vm) {
  return std::visit([](const auto& announced_vm) { return announced_vm.incarnation; }, vm);
}

std::string failure_domain_of(const fleet_vm& vm) {
  return std::visit([](const auto& announced_vm) { return announced_vm.failure_domain; }, vm);
}

bool is_leaving(const fleet_vm& vm) {
  return std::visit([](const auto& announced_vm) { return announced_vm.leaving; }, vm);
}

}  // namespace hawthornnotch::ctl
