/// \file
/// How recently an entry VM's copy of store data was confirmed to be the newest.
#ifndef HAWTHORNNOTCH_RELAY_CONFIRMATION_H_
#define HAWTHORNNOTCH_RELAY_CONFIRMATION_H_

#include <cstdint>

#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/platform/store_version.h"

namespace hawthornnotch::relay {

/// Records that a version was the newest in the store at a point in time.  Entry VMs forward it to
/// each other, so that one VM's read of the store confirms the copies of all.
struct confirmation {
  /// Random, chosen by the VM that read the store; the same in every forwarded copy.
  std::uint64_t id = 0;
  /// Store version that was read; a revision of 0 means none.
  platform::store_version version;
  /// When it was read, by this process's monotonic clock.
  time_point at;
};

/// Merges a confirmation received from another VM.  A forwarded age does not include time in
/// transit, so of two ages of the same confirmation the greater is the more accurate and is kept.
/// \returns whether `known` was replaced by a newer confirmation.
bool merge_confirmation(confirmation& known, const confirmation& incoming);

}  // namespace hawthornnotch::relay

#endif  // HAWTHORNNOTCH_RELAY_CONFIRMATION_H_
