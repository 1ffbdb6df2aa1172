#include "hawthornnotch/base/hash.h"

#include <xxhash.h>

namespace hawthornnotch {

std::uint64_t stable_hash(std::string_view text, std::uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::uint64_t stable_hash(std::uint64_t value, std::uint64_t seed) {
  return XXH3_64bits_withSeed(&value, sizeof value, seed);
}

}  // namespace hawthornnotch
