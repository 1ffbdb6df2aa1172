/// \file
/// Acquires and renews a lease in the platform's key-value store, with a fencing number.
#ifndef HAWTHORNNOTCH_LEASE_LEASE_HOLDER_H_
#define HAWTHORNNOTCH_LEASE_LEASE_HOLDER_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/platform/client.h"
#include "hawthornnotch/relay/store_era.h"

namespace hawthornnotch::lease {

/// Keys of a lease.
struct lease_keys {
  /// Exists while the lease is held.
  std::string lease;
  /// Holds the last fencing number.
  std::string fence;
};

/// \returns the keys of the lease of a failure domain, whose holder orders models.
[[nodiscard]] lease_keys keys_of_domain(std::string_view failure_domain);

struct lease_settings {
  lease_keys keys;
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

/// Why the lease was last given up.
enum class lease_end : std::uint8_t {
  none,
  /// It could not be renewed in time, or this process was suspended.
  ran_out,
  /// The store has no such lease.
  gone,
  /// The store was restored from a backup, or names another era for another reason.
  era_changed,
  /// Another holder's fencing number is greater.
  superseded,
  released,
};

std::string_view to_string(lease_end reason);

/// State of the lease, for dumps.
struct lease_status {
  lease_phase phase = lease_phase::idle;
  /// 0 while not held.
  std::uint64_t fencing = 0;
  /// End of the time for which this process may act as the holder.
  time_point valid_until;
  /// The holder as of the last read.
  std::string last_seen_holder;
  /// Store revision at which the lease was acquired: that of the lease's key.  0 while not held.
  std::int64_t revision = 0;
  /// Of the last term, or of one that has ended but is not given up yet.
  lease_end last_end = lease_end::none;
};

/// Acquires the lease in one transaction that also stores the next fencing number, renews it three
/// times per lifetime, and stops reporting it as held before it can expire.
///
/// The lease alone doesn't make orders safe: a process that is paused between its check and its
/// send can act on an expired lease.  Safety comes from servers that refuse an old fencing number.
///
/// A fencing number is greater than the stored one, than each that was reported with
/// `raise_floor`, and than `era * 2^32` if the store names its era.  So it also increases when the
/// store is restored from a backup that holds an old number.
///
/// Failures: if a call of an acquisition fails, the attempt ends without a fencing number and the
/// next one follows after `retry_interval`.  A failed renewal is repeated until `valid_until`; one
/// without an answer after a sixth of the lifetime is repeated beside it.  If the platform reports
/// that the lease is gone, it is given up at once.
/// While the stored fencing number can't be parsed, no acquisition succeeds.
/// A change of the store's era ends the term and each attempt at once.  A lease of an earlier era
/// is not revoked, since its id may belong to another holder in the restored store; the same goes
/// for a lease that may have expired.
///
/// Example:
///     holder->step(candidate);                       // about every second
///     if (auto number = holder->fencing()) { ... }   // checked again before each action
/// Ownership: refers to the store, the clock and the era; callbacks that run after its destruction
/// are ignored.
/// Thread safety: all members are thread safe; with an era, use it from the era's thread only.
class lease_holder {
 public:
  /// \param era of the store, updated before the callback of each call; null if it names none.
  [[nodiscard]] static std::unique_ptr<lease_holder> create(platform::key_value_store& store,
                                                            const clock& time,
                                                            lease_settings settings,
                                                            const relay::store_era* era = nullptr);
  virtual ~lease_holder() = default;
  /// Starts the next call that is due.  At most one call is outstanding.
  /// \param candidate whether to try to acquire the lease; a held lease is renewed either way.
  virtual void step(bool candidate) = 0;
  /// \returns the fencing number while this process may act as the holder, by its own clock.
  [[nodiscard]] virtual std::optional<std::uint64_t> fencing() const = 0;
  /// Reports a fencing number that another holder has used.  Ends the term if it is greater than
  /// the own one.
  virtual void raise_floor(std::uint64_t number) = 0;
  /// Ends the term with this number, after the caller found the lease's key changed.
  virtual void key_changed(std::uint64_t fencing) = 0;
  /// Revokes the lease and makes no further attempts to acquire it.
  virtual void release() = 0;
  [[nodiscard]] virtual lease_status status() const = 0;
};

}  // namespace hawthornnotch::lease

#endif  // HAWTHORNNOTCH_LEASE_LEASE_HOLDER_H_
