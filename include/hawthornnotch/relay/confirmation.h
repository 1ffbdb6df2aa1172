/// \file
/// How new is what an entry VM knows of the platform's store.
#ifndef HAWTHORNNOTCH_RELAY_CONFIRMATION_H_
#define HAWTHORNNOTCH_RELAY_CONFIRMATION_H_

#include <cstdint>

#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/platform/store_version.h"

namespace hawthornnotch::relay {

/// That what is known was the newest in the store, as told from VM to VM.
struct confirmation {
  /// Drawn by the VM that called the store; the same in every copy that is passed on.
  std::uint64_t id = 0;
  /// Point in the store's history that was looked at; none where the revision is 0.
  platform::store_version version;
  /// When it was looked at, by this process's monotonic clock.
  time_point at;
};

/// Takes in what another VM says.  An age that is passed on lacks the time on the way, so of two
/// ages of one confirmation the greater is nearer the truth.
/// \returns whether `known` became a newer confirmation.
bool merge_confirmation(confirmation& known, const confirmation& heard);

}  // namespace hawthornnotch::relay

#endif  // HAWTHORNNOTCH_RELAY_CONFIRMATION_H_
