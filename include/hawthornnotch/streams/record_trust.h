/// \file
/// Whether the platform's store still holds what entry VMs wrote there.
#ifndef HAWTHORNNOTCH_STREAMS_RECORD_TRUST_H_
#define HAWTHORNNOTCH_STREAMS_RECORD_TRUST_H_

#include <cstdint>
#include <optional>

#include "hawthornnotch/base/clock.h"

namespace hawthornnotch::streams {

/// The record of the fleet's versions, as a process finds it when it starts.
struct found_version_record {
  bool exists = false;
  /// Era of the store in which it was written by VMs that vouch for all records of that era; none
  /// if it names none.
  std::optional<std::int64_t> era;
};

/// Judges what the absence of a record proves.  A restore of the store from a copy removes what was
/// written since the copy was made, and nothing in the store tells that it is missing.
///
/// A process that runs during the restore sees the era advance.  One that starts later compares the
/// era that the record of versions names with that of the store.
///
/// Example:
///     trust.on_first_read({true, 3}, 4, now);
///     trust.is_unbroken(now);  // false: the store was restored after the record was written
/// Ownership: a value.  Thread safety: none.
class record_trust {
 public:
  /// Takes the first reading of the records.  \param store_era 0 if the store names none.
  void on_first_read(const found_version_record& found, std::int64_t store_era, time_point now);
  /// Records that the store was restored while this process ran.
  void on_restored(time_point now) { broken_at_ = now; }
  /// \returns whether no record of a stream that may still be resumed can have been lost.
  [[nodiscard]] bool is_unbroken(time_point now) const;
  /// \returns whether a server list shows all servers: after a restore they register again, those
  /// too that the copy did not hold.
  [[nodiscard]] bool shows_all_servers(time_point list_read_at) const;

 private:
  bool read_ = false;
  /// When it was last noticed that records may be lost.
  std::optional<time_point> broken_at_;
};

}  // namespace hawthornnotch::streams

#endif  // HAWTHORNNOTCH_STREAMS_RECORD_TRUST_H_
