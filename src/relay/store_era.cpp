#include "hawthornnotch/relay/store_era.h"

namespace hawthornnotch::relay {

era_news store_era::heard(std::int64_t era) {
  if (era == 0 || era == current_) {
    return era_news::same;
  }
  if (era < current_) {
    return era_news::went_back;
  }
  const bool first = current_ == 0;
  current_ = era;
  if (first) {
    return era_news::first;
  }
  ++restores_;
  return era_news::rose;
}

}  // namespace hawthornnotch::relay
