#include "hawthornnotch/standin/run_counter.h"

namespace hawthornnotch::standin {

std::uint64_t run_counter::add(std::string_view name, std::uint64_t amount) {
  if (name.empty()) {
    return 0;
  }
  const auto found = counts_.find(name);
  if (found != counts_.end()) {
    found->second += amount;
    return found->second;
  }
  order_.emplace_back(name);
  counts_.emplace(name, amount);
  if (order_.size() > limit) {
    counts_.erase(order_.front());
    order_.pop_front();
  }
  return amount;
}

boost::json::object run_counter::to_json() const {
  boost::json::object object;
  for (const auto& [name, count] : counts_) {
    object.emplace(name, count);
  }
  return object;
}

}  // namespace hawthornnotch::standin
