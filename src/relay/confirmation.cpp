#include "hawthornnotch/relay/confirmation.h"

#include <algorithm>

namespace hawthornnotch::relay {

bool merge_confirmation(confirmation& known, const confirmation& incoming) {
  if (incoming.version.revision == 0) {
    return false;
  }
  if (incoming.id == known.id) {
    known.at = std::min(known.at, incoming.at);
    return false;
  }
  // The revision does not change while the store has no writes; then the later read is newer.
  const bool newer = incoming.version > known.version ||
                     (incoming.version == known.version && incoming.at > known.at);
  if (newer) {
    known = incoming;
  }
  return newer;
}

}  // namespace hawthornnotch::relay
