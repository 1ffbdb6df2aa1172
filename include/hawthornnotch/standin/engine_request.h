/// \file
/// What a stand-in engine is asked for, and the text it answers with.
#ifndef HAWTHORNNOTCH_STANDIN_ENGINE_REQUEST_H_
#define HAWTHORNNOTCH_STANDIN_ENGINE_REQUEST_H_

#include <boost/json/object.hpp>
#include <cstdint>
#include <string>
#include <string_view>

#include "hawthornnotch/base/result.h"

namespace hawthornnotch::standin {

enum class request_fault : std::uint8_t { not_json, no_prompt };

/// One checked request for generation.
///
/// Token `i` of an answer is ` t<hash>.<i>`, where the hash is of the prompt without the part of
/// the answer that a resumed request brings along: a resumed answer therefore goes on where the
/// first one ended, and a caller can check that each token came once and in order.
struct generation {
  bool chat = false;
  bool stream = false;
  bool include_usage = false;
  std::string model;
  /// Lower goes first.
  std::int64_t priority = 0;
  /// Names the part of the prompt that a prefix cache may know.
  std::uint64_t prefix = 0;
  std::string prompt_hash;
  std::uint32_t prompt_tokens = 0;
  /// First token to produce, and one past the last.
  std::uint32_t begin = 0;
  std::uint32_t end = 0;
  /// True if `max_tokens` ended the answer.
  bool cut_by_limit = false;
};

/// \param chat whether the body is of `/v1/chat/completions`.
/// \param longest upper bound of the drawn length, tokens.
result<generation, request_fault> parse_generation(std::string_view body, bool chat,
                                                   std::uint32_t longest);

/// \returns the text of token `index`.
std::string token_text(const generation& request, std::uint32_t index);

}  // namespace hawthornnotch::standin

#endif  // HAWTHORNNOTCH_STANDIN_ENGINE_REQUEST_H_
