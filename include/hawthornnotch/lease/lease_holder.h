/// \file
/// Acquires and renews the failure domain's lease in the platform's key-value service.
#ifndef HAWTHORNNOTCH_LEASE_LEASE_HOLDER_H_
#define HAWTHORNNOTCH_LEASE_LEASE_HOLDER_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/platform/client.h"

namespace hawthornnotch::lease {

/// Key prefixes, each followed by the failure domain.
inline constexpr std::string_view lease_prefix = "hn/lease/";
inline constexpr std::string_view fence_prefix = "hn/fence/";

struct lease_settings {
  std::string failure_domain;
  /// Identifies the holder to operators; value of the lease's key.
  std::string holder;
  duration time_to_live{12'000};
  /// Time before its expiry, by this process's clock, at which the lease stops counting as held.
  duration safety_margin{3'000};
  /// Time between two attempts to acquire the lease.
  duration retry_interval{5'000};
};

enum class lease_phase : std::uint8_t { idle, acquiring, holding };

std::string_view to_string(lease_phase phase);

/// State of the lease, for dumps.
struct lease_status {
  lease_phase phase = lease_phase::idle;
  /// 0 while not held.
  std::uint64_t fencing = 0;
  /// End of the time for which this process may act as the holder.
  time_point valid_until;
  /// The holder as of the last read.
  std::string last_seen_holder;
};

/// Acquires the lease in one transaction that also increments the fencing number, renews it three
/// times per lifetime, and stops reporting it as held before it can expire.
///
/// The lease alone doesn't make orders safe: a process that is paused between its check and its
/// send can act on an expired lease.  Safety comes from servers that refuse an old fencing number.
///
/// Failures: if a call of an acquisition fails, the attempt ends without a fencing number and the
/// next one follows after `retry_interval`.  A failed renewal is retried until `valid_until`; if
/// the platform reports that the lease is gone, it is given up at once.
/// While the stored fencing number can't be parsed, no acquisition succeeds.
///
/// Example:
///     holder->step(candidate);                       // about every second
///     if (auto number = holder->fencing()) { ... }   // checked again before each action
/// Ownership: refers to the client and the clock; callbacks that run after its destruction are
/// ignored.
/// Thread safety: all members are thread safe.
class lease_holder {
 public:
  [[nodiscard]] static std::unique_ptr<lease_holder> create(platform::client& client,
                                                            const clock& time,
                                                            lease_settings settings);
  virtual ~lease_holder() = default;
  /// Starts the next call that is due.  At most one call is outstanding.
  /// \param candidate whether to try to acquire the lease; a held lease is renewed either way.
  virtual void step(bool candidate) = 0;
  /// \returns the fencing number while this process may act as the holder, by its own clock.
  [[nodiscard]] virtual std::optional<std::uint64_t> fencing() const = 0;
  /// Revokes the lease and makes no further attempts to acquire it.
  virtual void release() = 0;
  [[nodiscard]] virtual lease_status status() const = 0;
};

}  // namespace hawthornnotch::lease

#endif  // HAWTHORNNOTCH_LEASE_LEASE_HOLDER_H_
