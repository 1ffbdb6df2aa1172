/// \file
/// Messages by which entry VMs tell and ask each other where streams began.
#ifndef HAWTHORNNOTCH_STREAMS_ORIGIN_MESSAGE_H_
#define HAWTHORNNOTCH_STREAMS_ORIGIN_MESSAGE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "hawthornnotch/base/result.h"
#include "hawthornnotch/streams/stream_origin.h"

namespace hawthornnotch::streams {

/// A request of one entry VM to another, or the answer to it.
struct origin_message {
  /// In an answer, those asked for that are known.
  std::vector<stream_origin> origins;
  std::vector<stream_key> questions;
  bool operator==(const origin_message&) const = default;
};

enum class origin_codec_failure : std::uint8_t { malformed };

[[nodiscard]] std::string encode(const origin_message& message);
/// \returns the message; fails if anything in it is malformed.
[[nodiscard]] result<origin_message, origin_codec_failure> decode_origin_message(
    std::string_view text);

}  // namespace hawthornnotch::streams

#endif  // HAWTHORNNOTCH_STREAMS_ORIGIN_MESSAGE_H_
