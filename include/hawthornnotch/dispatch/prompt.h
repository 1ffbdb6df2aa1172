/// \file
/// The structure of a prompt: its size and the parts it shares with other requests.
#ifndef HAWTHORNNOTCH_DISPATCH_PROMPT_H_
#define HAWTHORNNOTCH_DISPATCH_PROMPT_H_

#include <cstdint>
#include <vector>

namespace hawthornnotch::dispatch {

/// One part of a prompt; parts with equal ids contain equal tokens.
struct prompt_part {
  std::uint64_t id = 0;
  std::uint32_t tokens = 0;
};

/// The prompt of a request to a model engine.
struct prompt_shape {
  /// In order; the last is specific to the request or its session, the others are shared.
  std::vector<prompt_part> parts;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t max_output_tokens = 0;
  /// The caller's estimate of the output length: right at the median, at times off by a factor of
  /// two; 0 if there is none.
  std::uint32_t expected_output_tokens = 0;
};

/// Identifies the leading parts of a prompt.  An engine can reuse a cached part only if all parts
/// before it are equal too.
struct prompt_prefix {
  /// Hash of the parts' ids in order.
  std::uint64_t hash = 0;
  /// Total tokens of these parts.
  std::uint32_t tokens = 0;
};

/// \returns the prefixes of the prompt, shortest first; the last one is the whole prompt.
std::vector<prompt_prefix> prefixes_of(const prompt_shape& prompt);

}  // namespace hawthornnotch::dispatch

#endif  // HAWTHORNNOTCH_DISPATCH_PROMPT_H_
