#include "hawthornnotch/streams/version_shares.h"

#include <utility>

#include "hawthornnotch/base/hash.h"

namespace hawthornnotch::streams {

result<version_shares, shares_failure> version_shares::create(weight_map weights) {
  std::uint64_t total = 0;
  for (const auto& [version, weight] : weights) {
    total += weight;
  }
  if (total == 0) {
    return failed{shares_failure::no_weight};
  }
  if (total > max_total_weight) {
    return failed{shares_failure::too_large};
  }
  return version_shares(std::move(weights), total);
}

version_shares version_shares::only(std::string version) {
  return version_shares({{std::move(version), 1}}, 1);
}

const std::string& version_shares::version_for(std::string_view attempt) const {
  constexpr int bits_used = 32;
  const std::uint64_t drawn = stable_hash(attempt) >> bits_used;
  std::uint64_t place = drawn * total_ >> bits_used;
  auto chosen = weights_.begin();
  while (place >= chosen->second) {
    place -= chosen->second;
    ++chosen;
  }
  return chosen->first;
}

std::set<std::string> begin_rule::versions_for(std::string_view attempt) const {
  std::set<std::string> versions;
  for (const version_shares& each : alternatives) {
    versions.insert(each.version_for(attempt));
  }
  return versions;
}

}  // namespace hawthornnotch::streams
