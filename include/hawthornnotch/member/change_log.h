/// \file
/// Log of changed keys by version, the basis of exchanging only differences.
#ifndef HAWTHORNNOTCH_MEMBER_CHANGE_LOG_H_
#define HAWTHORNNOTCH_MEMBER_CHANGE_LOG_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace hawthornnotch::member {

/// Keys in the order of their last change.  Each key appears once, so that a key that changes often
/// costs no more than one that doesn't.
///
/// Example:
///     log.touch(key, "vm-2");
///     log.visit_after(acknowledged, [](const auto& change) { return send(change.key); });
/// Ownership: owns its keys.  Thread safety: none.
template <class Key>
class change_log {
 public:
  struct change {
    std::uint64_t version = 0;
    Key key;
    /// Peer from which the change was received; empty if it originated in this process.
    std::string origin;
  };

  /// Records a change of `key` as the newest.
  void touch(const Key& key, std::string_view origin) {
    forget(key);
    ++version_;
    by_version_[version_] = {version_, key, std::string(origin)};
    version_of_[key] = version_;
  }
  /// Removes `key` from the log.
  void forget(const Key& key) {
    const auto found = version_of_.find(key);
    if (found != version_of_.end()) {
      by_version_.erase(found->second);
      version_of_.erase(found);
    }
  }
  /// Visits the changes after `version`, oldest first, until `visit` returns false.
  template <class Visit>
  void visit_after(std::uint64_t version, const Visit& visit) const {
    for (auto next = by_version_.upper_bound(version); next != by_version_.end(); ++next) {
      if (!visit(next->second)) {
        return;
      }
    }
  }
  /// \returns the version of the newest change, 0 before the first.
  [[nodiscard]] std::uint64_t version() const { return version_; }
  [[nodiscard]] std::size_t size() const { return version_of_.size(); }

 private:
  std::uint64_t version_ = 0;
  std::map<std::uint64_t, change> by_version_;
  std::map<Key, std::uint64_t> version_of_;
};

}  // namespace hawthornnotch::member

#endif  // HAWTHORNNOTCH_MEMBER_CHANGE_LOG_H_
