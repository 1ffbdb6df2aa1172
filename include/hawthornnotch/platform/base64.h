/// \file
/// Base64 as the platform's JSON form uses it for keys and values.
#ifndef HAWTHORNNOTCH_PLATFORM_BASE64_H_
#define HAWTHORNNOTCH_PLATFORM_BASE64_H_

#include <optional>
#include <string>
#include <string_view>

namespace hawthornnotch::platform {

/// \returns the standard alphabet's form, padded.
std::string encode_base64(std::string_view bytes);
/// \returns nothing if the text is not padded base64.
std::optional<std::string> decode_base64(std::string_view text);
/// \returns the end of the half-open range of all keys that start with `prefix`.
std::string prefix_end(std::string_view prefix);

}  // namespace hawthornnotch::platform

#endif  // HAWTHORNNOTCH_PLATFORM_BASE64_H_
