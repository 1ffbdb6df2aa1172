/// \file
/// 128-bit digests that are the same on every VM and in every release.
#ifndef HAWTHORNNOTCH_BASE_DIGEST_H_
#define HAWTHORNNOTCH_BASE_DIGEST_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hawthornnotch {

/// A digest wide enough that two different inputs do not share one by accident.
struct digest128 {
  std::uint64_t high = 0;
  std::uint64_t low = 0;
  constexpr bool operator==(const digest128&) const = default;
  constexpr bool operator<(const digest128& other) const {
    return high != other.high ? high < other.high : low < other.low;
  }
};

/// \returns the digest of `text`, mixed with `seed`.
digest128 digest_of(std::string_view text, std::uint64_t seed = 0);
/// \returns the digest as 32 hexadecimal digits.
std::string to_hex(const digest128& value);
/// \returns the digest; none unless the text is what `to_hex` writes.
std::optional<digest128> digest_from_hex(std::string_view text);

}  // namespace hawthornnotch

#endif  // HAWTHORNNOTCH_BASE_DIGEST_H_
