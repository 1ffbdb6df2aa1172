#include "hawthornnotch/base/random.h"

#include <array>

namespace hawthornnotch {

std::string make_incarnation() {
  static constexpr std::array<char, 16> digits = {'0', '1', '2', '3', '4', '5', '6', '7',
                                                  '8', '9', 'a', 'b', 'c', 'd', 'e', 'f'};
  constexpr int words = 4;
  constexpr int nibbles_per_word = 8;
  std::random_device entropy;
  std::string text;
  for (int word = 0; word < words; ++word) {
    std::uint32_t bits = entropy();
    for (int nibble = 0; nibble < nibbles_per_word; ++nibble) {
      text.push_back(digits.at(bits & 0xFU));
      bits >>= 4U;
    }
  }
  return text;
}

}  // namespace hawthornnotch
