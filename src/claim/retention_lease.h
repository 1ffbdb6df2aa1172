// Lease under which the platform deletes settled keys after their retention.
#ifndef HAWTHORNNOTCH_CLAIM_RETENTION_LEASE_H_
#define HAWTHORNNOTCH_CLAIM_RETENTION_LEASE_H_

#include <cstdint>
#include <memory>
#include <mutex>

#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/platform/client.h"

namespace hawthornnotch::claim {

// Provides a platform lease that outlasts the retention and regularly replaces it by a new one.  A
// lease is never renewed: keys stored under it are deleted when it expires.  While no lease can be
// granted, `usable_lease` returns 0 and keys are stored without expiry; no claim depends on it.
// Ownership: refers to the client and the clock.
// Thread safety: all members are thread safe.
class retention_lease : public std::enable_shared_from_this<retention_lease> {
 public:
  retention_lease(platform::client& platform, const clock& time, duration retention)
      : platform_(platform), time_(time), retention_(retention) {}

  // Requests a lease if none is usable.  Call this often.
  void refresh();
  // \returns the id of a lease that lasts at least the retention from now, or 0.
  [[nodiscard]] std::int64_t usable_lease() const;
  // Call this when the platform reports that the lease no longer exists.
  void discard();

 private:
  static constexpr std::int64_t rotations_per_retention = 8;
  static constexpr duration retry_pause{5'000};

  [[nodiscard]] bool is_fresh() const;

  platform::client& platform_;
  const clock& time_;
  const duration retention_;
  mutable std::mutex mutex_;
  std::int64_t lease_ = 0;
  time_point requested_at_;
  time_point granted_at_;
  bool request_pending_ = false;
  bool requested_before_ = false;
};

}  // namespace hawthornnotch::claim

#endif  // HAWTHORNNOTCH_CLAIM_RETENTION_LEASE_H_
