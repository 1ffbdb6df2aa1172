/// \file
/// Which backend server last ran a prompt prefix.
#ifndef HAWTHORNNOTCH_POLICY_PREFIX_MAP_H_
#define HAWTHORNNOTCH_POLICY_PREFIX_MAP_H_

#include <cstdint>
#include <list>
#include <memory>
#include <unordered_map>

#include "hawthornnotch/policy/server_state.h"

namespace hawthornnotch::policy {

/// Bounded memory of this router's own dispatches, the least recently used forgotten first.
///
/// Example: `prefixes.ran(hash, server); auto holder = prefixes.holder(hash);`
/// Ownership: does not keep servers alive.  Thread safety: none; the shard's lock protects it.
class prefix_map {
 public:
  explicit prefix_map(std::size_t most) : most_(most) {}
  void ran(std::uint64_t prefix, const std::shared_ptr<server_state>& server);
  /// \returns the server that likely has the prefix in its cache, or null.
  [[nodiscard]] std::shared_ptr<server_state> holder(std::uint64_t prefix) const;

 private:
  struct remembered {
    std::weak_ptr<server_state> server;
    std::list<std::uint64_t>::iterator age;
  };
  std::size_t most_;
  std::list<std::uint64_t> oldest_first_;
  std::unordered_map<std::uint64_t, remembered> entries_;
};

}  // namespace hawthornnotch::policy

#endif  // HAWTHORNNOTCH_POLICY_PREFIX_MAP_H_
