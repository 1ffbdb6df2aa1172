#include "hawthornnotch/observe/field.h"

#include <array>
#include <charconv>
#include <cmath>

#include "hawthornnotch/base/result.h"

namespace hawthornnotch::observe {

namespace {

constexpr unsigned char first_printable = 0x20;
constexpr unsigned char first_non_ascii = 0x80;

// Returns the number of continuation bytes after a UTF-8 lead byte, or -1 for an invalid lead byte.
int continuation_count(unsigned char lead) {
  if (lead < first_non_ascii) {
    return 0;
  }
  if (lead >= 0xC2 && lead <= 0xDF) {
    return 1;
  }
  if (lead >= 0xE0 && lead <= 0xEF) {
    return 2;
  }
  return lead >= 0xF0 && lead <= 0xF4 ? 3 : -1;
}

bool is_utf8(std::string_view text) {
  constexpr unsigned char continuation_mask = 0xC0;
  int expected = 0;
  for (const char character : text) {
    const auto byte = static_cast<unsigned char>(character);
    if (expected > 0) {
      if ((byte & continuation_mask) != first_non_ascii) {
        return false;
      }
      --expected;
      continue;
    }
    expected = continuation_count(byte);
    if (expected < 0) {
      return false;
    }
  }
  return expected == 0;
}

void append_escape(std::string& out, unsigned char byte) {
  static constexpr std::string_view digits = "0123456789abcdef";
  constexpr unsigned nibble_bits = 4;
  constexpr unsigned nibble_mask = 0xF;
  out += "\\u00";
  out += digits[byte >> nibble_bits];
  out += digits[byte & nibble_mask];
}

void append_character(std::string& out, char character, bool keep_non_ascii) {
  const auto byte = static_cast<unsigned char>(character);
  if (character == '"' || character == '\\') {
    out += '\\';
    out += character;
  } else if (character == '\n') {
    out += "\\n";
  } else if (byte < first_printable || byte == 0x7F) {
    append_escape(out, byte);
  } else if (byte >= first_non_ascii && !keep_non_ascii) {
    out += '?';
  } else {
    out += character;
  }
}

template <class Number>
void append_number(std::string& out, Number number) {
  constexpr std::size_t max_number_length = 32;
  std::array<char, max_number_length> buffer{};
  const auto end = std::to_chars(buffer.data(), buffer.data() + buffer.size(), number);
  out.append(buffer.data(), end.ptr);
}

}  // namespace

void append_json_text(std::string& out, std::string_view text) {
  const bool keep_non_ascii = is_utf8(text);
  out += '"';
  for (const char character : text) {
    append_character(out, character, keep_non_ascii);
  }
  out += '"';
}

void append_json_value(std::string& out, const field_value& value) {
  const overloaded append{
      [&out](std::string_view text) { append_json_text(out, text); },
      [&out](std::int64_t number) { append_number(out, number); },
      [&out](double number) {
        if (std::isfinite(number)) {
          append_number(out, number);
        } else {
          out += "null";
        }
      },
      [&out](bool flag) { out += flag ? "true" : "false"; },
  };
  std::visit(append, value);
}

void append_plain_text(std::string& out, std::string_view text) {
  static constexpr std::string_view plain =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_.:/@+";
  const bool bare = !text.empty() && text.find_first_not_of(plain) == std::string_view::npos;
  if (bare) {
    out += text;
  } else {
    append_json_text(out, text);
  }
}

}  // namespace hawthornnotch::observe
