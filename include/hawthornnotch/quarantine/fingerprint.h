/// \file
/// Digests that identify what a request carries, without its text.
#ifndef HAWTHORNNOTCH_QUARANTINE_FINGERPRINT_H_
#define HAWTHORNNOTCH_QUARANTINE_FINGERPRINT_H_

#include <compare>
#include <string>
#include <string_view>
#include <vector>

#include "hawthornnotch/base/digest.h"
#include "hawthornnotch/dispatch/prompt.h"

namespace hawthornnotch::quarantine {

/// Identifies one prompt part at one service.
struct fingerprint {
  digest128 digest;
  constexpr auto operator<=>(const fingerprint&) const = default;
};

/// \returns the fingerprints of the parts that the prompt shares with other requests, in order: all
/// but the last part, which is the request's own.
std::vector<fingerprint> shared_part_fingerprints(std::string_view service,
                                                  const dispatch::prompt_shape& prompt);
/// \returns the digests in hexadecimal, separated by commas, for logs.
std::string to_text(const std::vector<fingerprint>& fingerprints);

}  // namespace hawthornnotch::quarantine

#endif  // HAWTHORNNOTCH_QUARANTINE_FINGERPRINT_H_
