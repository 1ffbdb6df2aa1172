#include "hawthornnotch/policy/prefix_map.h"

namespace hawthornnotch::policy {

void prefix_map::ran(std::uint64_t prefix, const std::shared_ptr<server_state>& server) {
  if (prefix == 0 || most_ == 0) {
    return;
  }
  const auto found = entries_.find(prefix);
  if (found != entries_.end()) {
    found->second.server = server;
    oldest_first_.splice(oldest_first_.end(), oldest_first_, found->second.age);
    return;
  }
  if (entries_.size() >= most_) {
    entries_.erase(oldest_first_.front());
    oldest_first_.pop_front();
  }
  oldest_first_.push_back(prefix);
  entries_[prefix] = {server, std::prev(oldest_first_.end())};
}

std::shared_ptr<server_state> prefix_map::holder(std::uint64_t prefix) const {
  const auto found = entries_.find(prefix);
  return found == entries_.end() ? nullptr : found->second.server.lock();
}

}  // namespace hawthornnotch::policy
