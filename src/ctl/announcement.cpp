#include "hawthornnotch/ctl/announcement.h"

#include <boost/json/serialize.hpp>

#include "hawthornnotch/base/result.h"

namespace hawthornnotch::ctl {
namespace {

announcement_write write(const fleet_vm& vm) {
  return std::visit(
      [](const auto& known) { return announcement_write{boost::json::serialize(to_json(known))}; },
      vm);
}

}  // namespace

announcement_decision decide_announce(const std::optional<fleet_vm>& stored, const fleet_vm& next) {
  if (!stored || incarnation_of(*stored) != incarnation_of(next)) {
    return write(next);
  }
  if (is_leaving(*stored) && !is_leaving(next)) {
    return announcement_left{};
  }
  if (*stored == next) {
    return announcement_same{};
  }
  return write(next);
}

announcement_decision decide_leave(const std::optional<fleet_vm>& stored) {
  if (!stored) {
    return announcement_absent{};
  }
  if (is_leaving(*stored)) {
    return announcement_same{};
  }
  fleet_vm next = *stored;
  std::visit([](auto& vm) { vm.leaving = true; }, next);
  return write(next);
}

std::string id_of(const fleet_vm& vm) {
  return std::visit([](const auto& known) { return known.id; }, vm);
}

std::string incarnation_of(const fleet_vm& vm) {
  return std::visit([](const auto& known) { return known.incarnation; }, vm);
}

std::string failure_domain_of(const fleet_vm& vm) {
  return std::visit([](const auto& known) { return known.failure_domain; }, vm);
}

bool is_leaving(const fleet_vm& vm) {
  return std::visit([](const auto& known) { return known.leaving; }, vm);
}

}  // namespace hawthornnotch::ctl
