#include "hawthornnotch/dispatch/prefix_cache.h"

namespace hawthornnotch::dispatch {

void prefix_cache::touch(std::span<const prompt_prefix> prefixes) {
  for (const prompt_prefix& prefix : prefixes) {
    const auto found = positions_.find(prefix.hash);
    if (found != positions_.end()) {
      recent_.splice(recent_.begin(), recent_, found->second);
      continue;
    }
    recent_.push_front(prefix.hash);
    positions_.emplace(prefix.hash, recent_.begin());
  }
  while (recent_.size() > max_prefixes) {
    positions_.erase(recent_.back());
    recent_.pop_back();
  }
}

std::uint32_t prefix_cache::cached_tokens(std::span<const prompt_prefix> prefixes) const {
  std::uint32_t cached = 0;
  for (const prompt_prefix& prefix : prefixes) {
    if (positions_.find(prefix.hash) == positions_.end()) {
      break;
    }
    cached = prefix.tokens;
  }
  return cached;
}

void prefix_cache::clear() {
  recent_.clear();
  positions_.clear();
}

}  // namespace hawthornnotch::dispatch
