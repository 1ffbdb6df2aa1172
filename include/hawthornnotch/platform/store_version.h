/// \file
/// Version of the platform's store: era and revision.
#ifndef HAWTHORNNOTCH_PLATFORM_STORE_VERSION_H_
#define HAWTHORNNOTCH_PLATFORM_STORE_VERSION_H_

#include <cstdint>
#include <tuple>

namespace hawthornnotch::platform {

/// A point in the store's history, ordered by time.
///
/// The store increments its revision with each change. Restoring it from a backup moves the
/// revision back, so that revisions are reused, but increments the era; the era is therefore
/// compared first.
struct store_version {
  /// 0 if the store reports none.
  std::int64_t era = 0;
  /// 0 stands for no version.
  std::int64_t revision = 0;
  bool operator==(const store_version&) const = default;
  bool operator<(const store_version& other) const {
    return std::tie(era, revision) < std::tie(other.era, other.revision);
  }
  bool operator>(const store_version& other) const { return other < *this; }
};

}  // namespace hawthornnotch::platform

#endif  // HAWTHORNNOTCH_PLATFORM_STORE_VERSION_H_
