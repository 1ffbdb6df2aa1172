/// \file
/// Fingerprints of what a request carries.
#ifndef HAWTHORNNOTCH_QUARANTINE_FINGERPRINT_H_
#define HAWTHORNNOTCH_QUARANTINE_FINGERPRINT_H_

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "hawthornnotch/dispatch/prompt.h"
#include "hawthornnotch/quarantine/suspicion.h"

namespace hawthornnotch::quarantine {

/// \returns the fingerprints of the parts that the prompt shares with other requests, in order: all
/// but the last part, which is the request's own.
std::vector<fingerprint> shared_part_fingerprints(std::string_view service,
                                                  const dispatch::prompt_shape& prompt);
/// \returns the digests in hexadecimal, separated by commas, for logs.
std::string to_text(std::span<const fingerprint> fingerprints);

}  // namespace hawthornnotch::quarantine

#endif  // HAWTHORNNOTCH_QUARANTINE_FINGERPRINT_H_
