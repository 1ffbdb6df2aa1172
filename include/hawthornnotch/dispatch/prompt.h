/// \file
/// What a request says about its prompt: its parts, shared with other requests, and its size.
#ifndef HAWTHORNNOTCH_DISPATCH_PROMPT_H_
#define HAWTHORNNOTCH_DISPATCH_PROMPT_H_

#include <cstdint>
#include <vector>

namespace hawthornnotch::dispatch {

/// One part of a prompt; equal ids hold equal tokens.
struct prompt_part {
  std::uint64_t id = 0;
  std::uint32_t tokens = 0;
};

/// The prompt of a request to a model engine.
struct prompt_shape {
  /// In order; the last belongs to the request or its session, those before it are shared.
  std::vector<prompt_part> parts;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t max_output_tokens = 0;
  /// The caller's estimate of the output: right at the median, off by a factor of two at times;
  /// 0 where there is none.
  std::uint32_t expected_output_tokens = 0;
};

/// Names the first parts of a prompt: an engine can reuse a part only behind all parts before it.
struct prompt_prefix {
  /// Hash of the parts' ids in order.
  std::uint64_t hash = 0;
  /// Tokens of these parts together.
  std::uint32_t tokens = 0;
};

/// \returns the prefixes of the prompt, shortest first; the last one is the whole prompt.
std::vector<prompt_prefix> prefixes_of(const prompt_shape& prompt);

}  // namespace hawthornnotch::dispatch

#endif  // HAWTHORNNOTCH_DISPATCH_PROMPT_H_
