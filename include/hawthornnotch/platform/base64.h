/// \file
/// Base64 encoding of keys and values in etcd's JSON form.
#ifndef HAWTHORNNOTCH_PLATFORM_BASE64_H_
#define HAWTHORNNOTCH_PLATFORM_BASE64_H_

#include <optional>
#include <string>
#include <string_view>

namespace hawthornnotch::platform {

/// \returns the padded encoding in the standard alphabet.
std::string encode_base64(std::string_view bytes);
/// \returns the decoded bytes; nullopt if `text` is not padded base64.
std::optional<std::string> decode_base64(std::string_view text);
/// \returns the exclusive end of the range of all keys that start with `prefix`; a single zero
/// byte, which stands for no upper bound, if no key is greater than all of them.
std::string prefix_end(std::string_view prefix);

}  // namespace hawthornnotch::platform

#endif  // HAWTHORNNOTCH_PLATFORM_BASE64_H_
