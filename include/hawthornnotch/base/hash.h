/// \file
/// Stable hashing: the same input has the same hash on every VM and in every release.
#ifndef HAWTHORNNOTCH_BASE_HASH_H_
#define HAWTHORNNOTCH_BASE_HASH_H_

#include <cstdint>
#include <string_view>

namespace hawthornnotch {

/// \returns a 64-bit hash of `text`, mixed with `seed`.
std::uint64_t stable_hash(std::string_view text, std::uint64_t seed = 0);
/// \returns a 64-bit hash of `value`, mixed with `seed`.
std::uint64_t stable_hash(std::uint64_t value, std::uint64_t seed);

}  // namespace hawthornnotch

#endif  // HAWTHORNNOTCH_BASE_HASH_H_
