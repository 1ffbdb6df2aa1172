#include "hawthornnotch/dispatch/prefix_cache.h"

namespace hawthornnotch::dispatch {

void prefix_cache::used(std::span<const prompt_prefix> prefixes) {
  for (const prompt_prefix& prefix : prefixes) {
    const auto found = places_.find(prefix.hash);
    if (found != places_.end()) {
      recent_.splice(recent_.begin(), recent_, found->second);
      continue;
    }
    recent_.push_front(prefix.hash);
    places_.emplace(prefix.hash, recent_.begin());
  }
  while (recent_.size() > most_prefixes) {
    places_.erase(recent_.back());
    recent_.pop_back();
  }
}

std::uint32_t prefix_cache::held_tokens(std::span<const prompt_prefix> prefixes) const {
  std::uint32_t held = 0;
  for (const prompt_prefix& prefix : prefixes) {
    if (places_.find(prefix.hash) == places_.end()) {
      break;
    }
    held = prefix.tokens;
  }
  return held;
}

void prefix_cache::clear() {
  recent_.clear();
  places_.clear();
}

}  // namespace hawthornnotch::dispatch
