/// \file
/// Compression of messages between the processes of this system.
#ifndef HAWTHORNNOTCH_NET_DEFLATE_H_
#define HAWTHORNNOTCH_NET_DEFLATE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "hawthornnotch/base/result.h"

namespace hawthornnotch::net {

enum class inflate_failure : std::uint8_t {
  /// The input is not one complete deflate stream, or has bytes after it.
  malformed,
  /// The output exceeds the caller's limit.
  too_large,
};

/// \returns `plain` as a raw deflate stream (RFC 1951).
std::string deflate(std::string_view plain);

/// \param compressed a complete deflate stream.
/// \param max_bytes limit of the output size, against decompression bombs.
/// \returns the bytes that were passed to `deflate`.
result<std::string, inflate_failure> inflate(std::string_view compressed, std::size_t max_bytes);

}  // namespace hawthornnotch::net

#endif  // HAWTHORNNOTCH_NET_DEFLATE_H_
