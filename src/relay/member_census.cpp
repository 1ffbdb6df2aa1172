#include "hawthornnotch/relay/member_census.h"

#include <algorithm>

namespace hawthornnotch::relay {

namespace {

/// A VM that was removed for good takes a part of each quota until then.
constexpr duration retention{600'000};
constexpr duration forget_period{10'000};

}  // namespace

void member_census::observe(std::string_view vm, std::string_view failure_domain, time_point now) {
  forget_removed(now);
  const auto found = members_.find(vm);
  if (found != members_.end()) {
    found->second.seen_at = now;
    return;
  }
  members_.emplace(std::string(vm), member{std::string(failure_domain), now});
  ++sizes_[std::string(failure_domain)];
}

void member_census::forget_removed(time_point now) {
  if (now - forgotten_until_ < forget_period) {
    return;
  }
  forgotten_until_ = now;
  std::erase_if(members_, [&](const auto& each) {
    const bool removed = now - each.second.seen_at > retention;
    sizes_[each.second.failure_domain] -= removed ? 1 : 0;
    return removed;
  });
}

std::size_t member_census::count() const {
  std::size_t known = 0;
  std::size_t seen_domains = 0;
  for (const auto& [failure_domain, size] : sizes_) {
    known += size;
    seen_domains += size > 0 ? 1 : 0;
  }
  const auto unseen = static_cast<std::size_t>(
      std::count_if(failure_domains_.begin(), failure_domains_.end(), [&](const std::string& each) {
        const auto size = sizes_.find(each);
        return size == sizes_.end() || size->second == 0;
      }));
  return known + (unseen * known + seen_domains - 1) / seen_domains;
}

}  // namespace hawthornnotch::relay
