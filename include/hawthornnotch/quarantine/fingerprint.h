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
/// What stays the same when a caller sends a request again.
struct request_identity {
  /// Empty if the request belongs to none.
  std::string_view workspace;
  std::string_view host;
  std::string_view method;
  /// Path and query.
  std::string_view target;
  std::string_view body;
};

/// \returns the fingerprint of a request, which does not depend on its id.
fingerprint request_fingerprint(const request_identity& request);
/// \returns the name of the kind in logs.
std::string_view to_string(suspect_kind kind);
/// \returns the digests of one kind in hexadecimal, separated by commas, for logs.
std::string to_text(std::span<const fingerprint> fingerprints, suspect_kind kind);

}  // namespace hawthornnotch::quarantine

#endif  // HAWTHORNNOTCH_QUARANTINE_FINGERPRINT_H_
