#include "hawthornnotch/platform/base64.h"

#include <openssl/evp.h>

#include <vector>

namespace hawthornnotch::platform {
namespace {

constexpr std::size_t group_chars = 4;
constexpr std::size_t group_bytes = 3;

const unsigned char* as_bytes(std::string_view text) {
  return reinterpret_cast<const unsigned char*>(text.data());
}

}  // namespace

std::string encode_base64(std::string_view bytes) {
  // EVP_EncodeBlock also writes a terminating zero.
  std::vector<unsigned char> out((bytes.size() + group_bytes - 1) / group_bytes * group_chars + 1);
  const int length = EVP_EncodeBlock(out.data(), as_bytes(bytes), static_cast<int>(bytes.size()));
  return {out.begin(), out.begin() + length};
}

std::optional<std::string> decode_base64(std::string_view text) {
  if (text.size() % group_chars != 0) {
    return {};
  }
  std::vector<unsigned char> out(text.size() / group_chars * group_bytes + 1);
  const int length = EVP_DecodeBlock(out.data(), as_bytes(text), static_cast<int>(text.size()));
  if (length < 0) {
    return {};
  }
  // EVP_DecodeBlock decodes the padding into zero bytes.
  std::size_t padding = 0;
  while (padding < 2 && padding < text.size() && text[text.size() - 1 - padding] == '=') {
    ++padding;
  }
  return std::string(out.begin(), out.begin() + length - static_cast<int>(padding));
}

std::string prefix_end(std::string_view prefix) {
  std::string end(prefix);
  while (!end.empty() && static_cast<unsigned char>(end.back()) == 0xff) {
    end.pop_back();
  }
  if (end.empty()) {
    return std::string(1, '\0');
  }
  end.back() = static_cast<char>(static_cast<unsigned char>(end.back()) + 1);
  return end;
}

}  // namespace hawthornnotch::platform
