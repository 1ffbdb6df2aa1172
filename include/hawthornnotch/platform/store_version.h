/// \file
/// Points in the history of the platform's store.
#ifndef HAWTHORNNOTCH_PLATFORM_STORE_VERSION_H_
#define HAWTHORNNOTCH_PLATFORM_STORE_VERSION_H_

#include <cstdint>
#include <tuple>

namespace hawthornnotch::platform {

/// One point in the store's history, ordered in time.
///
/// The store counts its changes.  When it is restored from an older copy the count goes back and
/// numbers are given out again, but its era rises: so the era is compared first.
struct store_version {
  /// 0 where the store names none.
  std::int64_t era = 0;
  /// 0 for no point at all.
  std::int64_t revision = 0;
  bool operator==(const store_version&) const = default;
  bool operator<(const store_version& other) const {
    return std::tie(era, revision) < std::tie(other.era, other.revision);
  }
  bool operator>(const store_version& other) const { return other < *this; }
};

}  // namespace hawthornnotch::platform

#endif  // HAWTHORNNOTCH_PLATFORM_STORE_VERSION_H_
