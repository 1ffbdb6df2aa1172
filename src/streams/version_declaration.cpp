#include "hawthornnotch/streams/version_declaration.h"

#include <utility>

namespace hawthornnotch::streams {

void version_declaration::on_predecessor(std::optional<version_sets> recorded) {
  predecessor_ = std::move(recorded);
}

bool version_declaration::covers(std::string_view service, time_point now) const {
  const bool leased = now - leased_at_ < declaration_renewal * 2;
  return leased && recorded_.contains(service);
}

bool version_declaration::knows_own_streams(std::string_view service) const {
  return predecessor_ && !predecessor_->contains(service);
}

}  // namespace hawthornnotch::streams
