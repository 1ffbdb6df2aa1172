#include "hawthornnotch/streams/vm_declaration.h"

namespace hawthornnotch::streams {

begin_rule vm_declaration::rule_of(std::string_view service) const {
  const auto found = rules.find(service);
  return found == rules.end() ? begin_rule{} : found->second;
}

}  // namespace hawthornnotch::streams
