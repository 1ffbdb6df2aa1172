#include "hawthornnotch/base/digest.h"

#include <xxhash.h>

#include <algorithm>
#include <charconv>

namespace hawthornnotch {

namespace {

constexpr int hexadecimal = 16;
constexpr std::size_t digits_per_half = 16;

std::string half_to_hex(std::uint64_t value) {
  std::string text(digits_per_half, '0');
  for (auto digit = text.rbegin(); value != 0; ++digit) {
    *digit = "0123456789abcdef"[value % hexadecimal];
    value /= hexadecimal;
  }
  return text;
}

bool is_lowercase_hex(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char each) {
    return (each >= '0' && each <= '9') || (each >= 'a' && each <= 'f');
  });
}

std::uint64_t half_from_hex(std::string_view digits) {
  std::uint64_t value = 0;
  std::from_chars(digits.data(), digits.data() + digits.size(), value, hexadecimal);
  return value;
}

}  // namespace

digest128 digest_of(std::string_view text, std::uint64_t seed) {
  const XXH128_hash_t hash = XXH3_128bits_withSeed(text.data(), text.size(), seed);
  return {hash.high64, hash.low64};
}

std::string to_hex(const digest128& value) {
  return half_to_hex(value.high) + half_to_hex(value.low);
}

std::optional<digest128> digest_from_hex(std::string_view text) {
  if (text.size() != 2 * digits_per_half || !is_lowercase_hex(text)) {
    return std::nullopt;
  }
  return digest128{half_from_hex(text.substr(0, digits_per_half)),
                   half_from_hex(text.substr(digits_per_half))};
}

}  // namespace hawthornnotch
