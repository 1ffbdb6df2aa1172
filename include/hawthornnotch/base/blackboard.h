/// \file
/// Shared values that controllers publish to each other.
#ifndef HAWTHORNNOTCH_BASE_BLACKBOARD_H_
#define HAWTHORNNOTCH_BASE_BLACKBOARD_H_

#include <cstdint>
#include <memory>
#include <mutex>

namespace hawthornnotch {

/// One entry of the blackboard: a shared immutable value that is replaced as a whole.
///
/// Example:
///     entry<fleet_snapshot> fleet;
///     fleet.post(std::make_shared<const fleet_snapshot>(next));
///     auto snapshot = fleet.read();  // immutable; stays valid while held
/// Ownership: shares the value with its readers.  Thread safety: all members are thread safe.
template <class T>
class entry {
 public:
  /// Replaces the value.
  void post(std::shared_ptr<const T> value) {
    const std::lock_guard lock(mutex_);
    value_ = std::move(value);
    ++posted_;
  }
  /// \returns the newest value, or null before the first `post`.
  [[nodiscard]] std::shared_ptr<const T> read() const {
    const std::lock_guard lock(mutex_);
    return value_;
  }
  /// \returns the number of calls of `post`, which serves as the value's version.
  [[nodiscard]] std::uint64_t posted() const {
    const std::lock_guard lock(mutex_);
    return posted_;
  }

 private:
  mutable std::mutex mutex_;
  std::shared_ptr<const T> value_;
  std::uint64_t posted_ = 0;
};

}  // namespace hawthornnotch

#endif  // HAWTHORNNOTCH_BASE_BLACKBOARD_H_
