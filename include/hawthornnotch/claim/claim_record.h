/// \file
/// Value stored in the platform's key-value service for a claimed key.
#ifndef HAWTHORNNOTCH_CLAIM_CLAIM_RECORD_H_
#define HAWTHORNNOTCH_CLAIM_CLAIM_RECORD_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/claim/claim_service.h"

namespace hawthornnotch::claim {

enum class record_state : std::uint8_t {
  /// The attempt with this nonce may dispatch, has dispatched, or belongs to a crashed process.
  claimed,
  /// The request ran; the record holds its answer.
  done,
  /// The request was sent; its result is not known.
  unknown,
  /// The owner guarantees that it never sent the request; any process may claim the key by
  /// compare-and-swap.
  released,
};

struct claim_record {
  record_state state = record_state::claimed;
  std::string nonce;
  std::string fingerprint;
  std::string request_id;
  /// Wall-clock time of the claim.
  time_point claimed_at;
  /// Meaningful in state `done`.
  recorded_answer answer;
};

std::string to_text(const claim_record& record);
/// \returns nothing for a value that this release can't parse.
std::optional<claim_record> parse_record(std::string_view text);
/// \returns the key in the platform's store for a caller's key; distinct inputs give distinct keys.
std::string platform_key(std::string_view workspace, std::string_view key);

}  // namespace hawthornnotch::claim

#endif  // HAWTHORNNOTCH_CLAIM_CLAIM_RECORD_H_
