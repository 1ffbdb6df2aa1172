/// \file
/// The value that stands in the platform under a claimed key.
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
  /// The attempt with this nonce may dispatch, may have dispatched, or died.
  claimed,
  /// Ran; the answer is in the record.
  done,
  /// Sent, result not known.
  unknown,
  /// Never sent, by the owner's own word; any process may claim it by compare-and-swap.
  released,
};

struct claim_record {
  record_state state = record_state::claimed;
  std::string nonce;
  std::string fingerprint;
  std::string request_id;
  /// Calendar time of the claim.
  time_point claimed_at;
  /// Meaningful in state `done`.
  recorded answer;
};

std::string to_text(const claim_record& record);
/// \returns nothing for a value that this release doesn't understand.
std::optional<claim_record> parse_record(std::string_view text);
/// \returns the platform's key for a caller's key; distinct for distinct input.
std::string platform_key(std::string_view workspace, std::string_view key);

}  // namespace hawthornnotch::claim

#endif  // HAWTHORNNOTCH_CLAIM_CLAIM_RECORD_H_
