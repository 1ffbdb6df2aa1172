#include "hawthornnotch/streams/declaration_table.h"

#include <utility>

namespace hawthornnotch::streams {

void declaration_table::on_read(std::map<std::string, version_sets> by_vm, time_point called_at) {
  read_ = true;
  called_at_ = called_at;
  by_vm_ = std::move(by_vm);
}

std::set<std::string> declaration_table::declarers(std::string_view service) const {
  std::set<std::string> out;
  for (const auto& [vm, mixed] : by_vm_) {
    if (mixed.contains(service)) {
      out.insert(vm);
    }
  }
  return out;
}

}  // namespace hawthornnotch::streams
