#include "hawthornnotch/streams/vm_declaration.h"

namespace hawthornnotch::streams {

vm_declaration vm_declaration::unreadable() {
  vm_declaration out;
  out.readable = false;
  return out;
}

begin_rule vm_declaration::rule_of(std::string_view service) const {
  const auto found = rules.find(service);
  return found == rules.end() ? begin_rule{} : found->second;
}

}  // namespace hawthornnotch::streams
