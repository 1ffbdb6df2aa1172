#include "hawthornnotch/relay/store_era.h"

namespace hawthornnotch::relay {

era_update store_era::heard(std::int64_t era) {
  if (era == 0 || era == current_) {
    return era_update::same;
  }
  if (era < current_) {
    return era_update::older;
  }
  const bool first = current_ == 0;
  current_ = era;
  if (first) {
    return era_update::first;
  }
  ++restores_;
  return era_update::advanced;
}

}  // namespace hawthornnotch::relay
