#include "hawthornnotch/streams/version_declaration.h"

namespace hawthornnotch::streams {

bool version_declaration::covers(std::string_view service, time_point now) const {
  const bool leased = now - leased_at_ < declaration_renewal * 2;
  return leased && recorded_.contains(service);
}

}  // namespace hawthornnotch::streams
