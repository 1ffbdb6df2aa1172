#include "hawthornnotch/relay/confirmation.h"

#include <algorithm>

namespace hawthornnotch::relay {

bool merge_confirmation(confirmation& known, const confirmation& heard) {
  if (heard.version.revision == 0) {
    return false;
  }
  if (heard.id == known.id) {
    known.at = std::min(known.at, heard.at);
    return false;
  }
  // The store's revision stands still while nothing changes: then the later look is newer.
  const bool newer =
      heard.version > known.version || (heard.version == known.version && heard.at > known.at);
  if (newer) {
    known = heard;
  }
  return newer;
}

}  // namespace hawthornnotch::relay
