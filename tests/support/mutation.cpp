#include "mutation.h"

#include <array>
#include <string_view>

namespace hawthornnotch::test {

namespace {

constexpr std::array<std::string_view, 14> boundary_tokens = {"-1",
                                                              "0",
                                                              "9223372036854775807",
                                                              "18446744073709551616",
                                                              "1e999",
                                                              "null",
                                                              "{}",
                                                              "[]",
                                                              "\"\"",
                                                              "\r\n",
                                                              "\n\n",
                                                              ":",
                                                              ",",
                                                              "\\ud800"};

std::size_t random_position(const std::string& text, random_source& random) {
  return static_cast<std::size_t>(random.below(text.size() + 1));
}

void mutate_once(std::string& text, random_source& random) {
  constexpr std::uint64_t max_piece_bytes = 12;
  constexpr std::uint64_t byte_values = 256;
  enum kind : std::uint8_t { overwrite, drop, repeat, move, cut, insert_edge, kinds };
  const std::size_t at = random_position(text, random);
  const auto length = static_cast<std::size_t>(1 + random.below(max_piece_bytes));
  const std::string piece = text.substr(at, length);
  switch (random.below(kinds)) {
    case overwrite:
      if (at < text.size()) {
        text[at] = static_cast<char>(random.below(byte_values));
      }
      return;
    case drop:
      text.erase(at, length);
      return;
    case repeat:
      text.insert(at, piece);
      return;
    case move:
      text.erase(at, length);
      text.insert(random_position(text, random), piece);
      return;
    case cut:
      text.resize(at);
      return;
    default:
      text.insert(at, boundary_tokens.at(random.below(boundary_tokens.size())));
  }
}

}  // namespace

std::string mutate(std::string text, random_source& random) {
  constexpr std::uint64_t max_changes = 8;
  const std::uint64_t changes = 1 + random.below(max_changes);
  for (std::uint64_t index = 0; index < changes; ++index) {
    mutate_once(text, random);
  }
  return text;
}

}  // namespace hawthornnotch::test
