// Lease that lets the platform forget settled keys after their retention.
#ifndef HAWTHORNNOTCH_CLAIM_RETENTION_LEASE_H_
#define HAWTHORNNOTCH_CLAIM_RETENTION_LEASE_H_

#include <cstdint>
#include <memory>
#include <mutex>

#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/platform/client.h"

namespace hawthornnotch::claim {

// Hands out a lease that outlasts the retention, and takes a new one now and then.  It is never
// renewed: what was stored under it goes when it ends.  No decision depends on it.
// Thread safety: all members are thread safe.
class retention_lease : public std::enable_shared_from_this<retention_lease> {
 public:
  retention_lease(platform::client& platform, const clock& time, duration retention)
      : platform_(platform), time_(time), retention_(retention) {}

  // Asks for a lease when none is usable; to be called often.
  void refresh();
  // \returns a lease that ends no sooner than the retention from now, or 0.
  [[nodiscard]] std::int64_t usable() const;
  // The service says that the lease is gone.
  void drop();

 private:
  static constexpr std::int64_t rotations_per_retention = 8;
  static constexpr duration retry_pause{5'000};

  [[nodiscard]] bool fresh() const;

  platform::client& platform_;
  const clock& time_;
  const duration retention_;
  mutable std::mutex mutex_;
  std::int64_t lease_ = 0;
  time_point asked_at_;
  time_point granted_at_;
  bool asking_ = false;
  bool asked_before_ = false;
};

}  // namespace hawthornnotch::claim

#endif  // HAWTHORNNOTCH_CLAIM_RETENTION_LEASE_H_
