/// \file
/// Which era of the platform's store is the newest that this VM has heard of.
#ifndef HAWTHORNNOTCH_RELAY_STORE_ERA_H_
#define HAWTHORNNOTCH_RELAY_STORE_ERA_H_

#include <cstdint>

namespace hawthornnotch::relay {

/// What a named era means for what is known here.
enum class era_update : std::uint8_t {
  /// The era that is known already.
  same,
  /// The first era that this process hears of.
  first,
  /// The store was restored from an older copy.
  advanced,
  /// An era that is over: whoever names it has not heard of the restore yet.
  older,
};

/// Follows the store's era as answers of the store and other entry VMs name it.
///
/// The fault it answers: a store that comes back from an older copy.  What a call brings that began
/// before the restore was heard of belongs to no known point of the history, and a lease that was
/// granted before may be another VM's by now; `restores` tells both.
///
/// Example:
///     const std::uint64_t asked_in = era.restores();
///     store.read(key, [=](auto answer) { if (era.restores() != asked_in) { read_again(); } });
/// Ownership: a value.  Thread safety: none.
class store_era {
 public:
  /// \param era as the store or a peer names it; 0 where it names none, which tells nothing.
  era_update heard(std::int64_t era);
  /// The newest era heard of; 0 before the first.
  [[nodiscard]] std::int64_t current() const { return current_; }
  /// How often the era has risen since this process started.
  [[nodiscard]] std::uint64_t restores() const { return restores_; }

 private:
  std::int64_t current_ = 0;
  std::uint64_t restores_ = 0;
};

}  // namespace hawthornnotch::relay

#endif  // HAWTHORNNOTCH_RELAY_STORE_ERA_H_
