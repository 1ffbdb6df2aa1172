#include "hawthornnotch/policy/prefix_map.h"

namespace hawthornnotch::policy {

void prefix_map::record_dispatch(std::uint64_t prefix,
                                 const std::shared_ptr<server_state>& server) {
  if (prefix == 0 || capacity_ == 0) {
    return;
  }
  const auto found = entries_.find(prefix);
  if (found != entries_.end()) {
    found->second.server = server;
    lru_order_.splice(lru_order_.end(), lru_order_, found->second.lru_position);
    return;
  }
  if (entries_.size() >= capacity_) {
    entries_.erase(lru_order_.front());
    lru_order_.pop_front();
  }
  lru_order_.push_back(prefix);
  entries_[prefix] = {server, std::prev(lru_order_.end())};
}

std::shared_ptr<server_state> prefix_map::server_for(std::uint64_t prefix) const {
  const auto found = entries_.find(prefix);
  return found == entries_.end() ? nullptr : found->second.server.lock();
}

}  // namespace hawthornnotch::policy
