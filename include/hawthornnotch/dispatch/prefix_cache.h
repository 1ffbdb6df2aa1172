/// \file
/// Estimates which prompt prefixes an engine has cached, from the requests this process sent there.
#ifndef HAWTHORNNOTCH_DISPATCH_PREFIX_CACHE_H_
#define HAWTHORNNOTCH_DISPATCH_PREFIX_CACHE_H_

#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>

#include "hawthornnotch/dispatch/prompt.h"

namespace hawthornnotch::dispatch {

/// A bounded LRU set of the prefixes sent to one engine.
///
/// Example: `cache.touch(prefixes); std::uint32_t cached = cache.cached_tokens(prefixes);`
/// Ownership: a value.  Thread safety: none.
class prefix_cache {
 public:
  /// Records that the engine has processed these prefixes; evicts the least recently used ones.
  void touch(std::span<const prompt_prefix> prefixes);
  /// \param prefixes shortest first.
  /// \returns the tokens of the longest prefix that the engine has probably cached; 0 if none.
  [[nodiscard]] std::uint32_t cached_tokens(std::span<const prompt_prefix> prefixes) const;
  void clear();

 private:
  /// Limits memory to some tens of kilobytes per engine.
  static constexpr std::size_t max_prefixes = 512;
  std::list<std::uint64_t> recent_;
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> positions_;
};

}  // namespace hawthornnotch::dispatch

#endif  // HAWTHORNNOTCH_DISPATCH_PREFIX_CACHE_H_
