/// \file
/// Maps prompt prefixes to the backend server that last ran them.
#ifndef HAWTHORNNOTCH_POLICY_PREFIX_MAP_H_
#define HAWTHORNNOTCH_POLICY_PREFIX_MAP_H_

#include <cstdint>
#include <list>
#include <memory>
#include <unordered_map>

#include "hawthornnotch/policy/server_state.h"

namespace hawthornnotch::policy {

/// LRU map of this router's own dispatches; evicts the least recently used prefix when full.
///
/// Example: `prefixes.record_dispatch(hash, server); auto server = prefixes.server_for(hash);`
/// Ownership: does not keep servers alive.  Thread safety: none; the shard's lock protects it.
class prefix_map {
 public:
  /// \param capacity number of prefixes; 0 disables the map.
  explicit prefix_map(std::size_t capacity) : capacity_(capacity) {}
  /// Records that the server was sent a request with this prefix; a prefix of 0 is ignored.
  void record_dispatch(std::uint64_t prefix, const std::shared_ptr<server_state>& server);
  /// \returns the server that likely has the prefix cached, or null.
  [[nodiscard]] std::shared_ptr<server_state> server_for(std::uint64_t prefix) const;

 private:
  struct entry {
    std::weak_ptr<server_state> server;
    std::list<std::uint64_t>::iterator lru_position;
  };
  std::size_t capacity_;
  std::list<std::uint64_t> lru_order_;
  std::unordered_map<std::uint64_t, entry> entries_;
};

}  // namespace hawthornnotch::policy

#endif  // HAWTHORNNOTCH_POLICY_PREFIX_MAP_H_
