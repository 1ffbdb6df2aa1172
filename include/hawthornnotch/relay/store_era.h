/// \file
/// Tracks the newest era of the platform's store that this VM knows of.  The era increases each
/// time the store is restored from a backup.
#ifndef HAWTHORNNOTCH_RELAY_STORE_ERA_H_
#define HAWTHORNNOTCH_RELAY_STORE_ERA_H_

#include <cstdint>

namespace hawthornnotch::relay {

/// How a received era relates to the current one.
enum class era_update : std::uint8_t {
  /// The current era, or none was named.
  same,
  /// The first era that this process learns of.
  first,
  /// A newer era: the store was restored from a backup.
  advanced,
  /// A past era: the sender has not learned of the restore yet.
  older,
};

/// Follows the store's era as named in answers of the store and in messages of other entry VMs.
///
/// Guards against the store being restored from an older backup.  The result of a call that started
/// before the restore was detected cannot be placed in the store's history, and a lease granted
/// before may now belong to another VM.  Compare `restores` from before and after to detect both.
///
/// Example:
///     const std::uint64_t asked_in = era.restores();
///     store.read(key, [=](auto answer) { if (era.restores() != asked_in) { read_again(); } });
/// Ownership: a value.  Thread safety: none.
class store_era {
 public:
  /// Merges the era that the store or a peer named.
  /// \param era 0 if none was named, which changes nothing.
  era_update observed(std::int64_t era);
  /// \returns the newest known era; 0 before the first.
  [[nodiscard]] std::int64_t current() const { return current_; }
  /// \returns how many restores this process has detected.
  [[nodiscard]] std::uint64_t restores() const { return restores_; }

 private:
  std::int64_t current_ = 0;
  std::uint64_t restores_ = 0;
};

}  // namespace hawthornnotch::relay

#endif  // HAWTHORNNOTCH_RELAY_STORE_ERA_H_
