/// \file
/// Which prompt prefixes an engine probably holds, from what this process sent there.
#ifndef HAWTHORNNOTCH_DISPATCH_PREFIX_CACHE_H_
#define HAWTHORNNOTCH_DISPATCH_PREFIX_CACHE_H_

#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>

#include "hawthornnotch/dispatch/prompt.h"

namespace hawthornnotch::dispatch {

/// Least recently used prefixes of one engine, bounded in number.
///
/// Example: `cache.used(prefixes); std::uint32_t held = cache.held_tokens(prefixes);`
/// Ownership: a value.  Thread safety: none.
class prefix_cache {
 public:
  /// The engine has read these prefixes.
  void used(std::span<const prompt_prefix> prefixes);
  /// \returns tokens of the longest prefix that the engine probably holds.
  [[nodiscard]] std::uint32_t held_tokens(std::span<const prompt_prefix> prefixes) const;
  void clear();

 private:
  /// Bounds the memory for one engine to some tens of kilobytes.
  static constexpr std::size_t most_prefixes = 512;
  std::list<std::uint64_t> recent_;
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> places_;
};

}  // namespace hawthornnotch::dispatch

#endif  // HAWTHORNNOTCH_DISPATCH_PREFIX_CACHE_H_
