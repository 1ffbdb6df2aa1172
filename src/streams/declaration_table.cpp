#include "hawthornnotch/streams/declaration_table.h"

#include <algorithm>
#include <utility>

namespace hawthornnotch::streams {

void declaration_table::on_read(declaration_map by_vm, time_point called_at) {
  read_ = true;
  called_at_ = called_at;
  by_vm_ = std::move(by_vm);
}

std::map<std::string, begin_rule> declaration_table::declarers(std::string_view service) const {
  std::map<std::string, begin_rule> out;
  for (const auto& [vm, declared] : by_vm_) {
    if (declared.may_declare(service)) {
      out.emplace(vm, declared.rule_of(service));
    }
  }
  return out;
}

std::int64_t declaration_table::known_vms() const {
  std::int64_t most = 0;
  for (const auto& [vm, declared] : by_vm_) {
    most = std::max(most, declared.known_vms);
  }
  return most;
}

version_sets recorded_bases(version_sets in_service,
                            const declaration_table::declaration_map& by_vm) {
  version_sets bases = std::move(in_service);
  std::erase_if(bases, [&](const auto& each) {
    return std::any_of(by_vm.begin(), by_vm.end(),
                       [&](const auto& record) { return record.second.may_declare(each.first); });
  });
  for (const auto& [vm, declared] : by_vm) {
    for (const auto& [service, rule] : declared.rules) {
      if (rule.base) {
        bases[service].insert(*rule.base);
      }
    }
  }
  return bases;
}

}  // namespace hawthornnotch::streams
