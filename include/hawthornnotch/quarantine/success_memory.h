/// \file
/// Remembers for a bounded number of fingerprints when a server last answered a request with them.
#ifndef HAWTHORNNOTCH_QUARANTINE_SUCCESS_MEMORY_H_
#define HAWTHORNNOTCH_QUARANTINE_SUCCESS_MEMORY_H_

#include <cstddef>
#include <optional>
#include <unordered_map>

#include "hawthornnotch/quarantine/suspicion.h"

namespace hawthornnotch::quarantine {

/// Two generations of successes: when the young one is full or old, it replaces the other, so that
/// a record costs constant time and memory is bounded.
///
/// Ownership: a value.  Thread safety: none.
class success_memory {
 public:
  /// Records that a server began to answer a request with `what`.
  void record(const fingerprint& what, time_point now);
  /// \returns when that was last; none if it is not remembered.
  [[nodiscard]] std::optional<time_point> find(const fingerprint& what) const;

 private:
  struct fingerprint_hash {
    std::size_t operator()(const fingerprint& what) const { return what.digest.low; }
  };
  using generation = std::unordered_map<fingerprint, time_point, fingerprint_hash>;

  generation young_;
  generation old_;
  time_point young_since_;
};

}  // namespace hawthornnotch::quarantine

#endif  // HAWTHORNNOTCH_QUARANTINE_SUCCESS_MEMORY_H_
