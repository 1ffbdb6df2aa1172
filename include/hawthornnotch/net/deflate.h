/// \file
/// Compression of messages between own processes.
#ifndef HAWTHORNNOTCH_NET_DEFLATE_H_
#define HAWTHORNNOTCH_NET_DEFLATE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "hawthornnotch/base/result.h"

namespace hawthornnotch::net {

enum class inflate_failure : std::uint8_t {
  /// Not what `deflate` writes, or not all of it.
  malformed,
  /// More bytes than the receiver takes.
  too_large,
};

/// \returns the bytes as a raw deflate stream (RFC 1951).
std::string deflate(std::string_view plain);

/// \param compressed a whole deflate stream.
/// \param most_bytes bound of the result, against streams that are made to expand.
/// \returns the bytes that were given to `deflate`.
result<std::string, inflate_failure> inflate(std::string_view compressed, std::size_t most_bytes);

}  // namespace hawthornnotch::net

#endif  // HAWTHORNNOTCH_NET_DEFLATE_H_
