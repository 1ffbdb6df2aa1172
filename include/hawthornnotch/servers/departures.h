/// \file
/// Tracks backend server incarnations that are leaving or have left.
#ifndef HAWTHORNNOTCH_SERVERS_DEPARTURES_H_
#define HAWTHORNNOTCH_SERVERS_DEPARTURES_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/servers/server_entry.h"

namespace hawthornnotch::servers {

/// A notice that a server is leaving, as gossiped between entry VMs.
struct departure {
  std::string server;
  /// Start time of the leaving incarnation, Unix time in milliseconds.
  std::int64_t start_time_ms = 0;
  /// How much longer the notice is gossiped; the list catches up meanwhile.
  duration remaining;
};

/// Remembers which server incarnations are leaving or have been removed from the server list.
///
/// Guards against two faults: a server announces that it is leaving before the list shows it, and a
/// store restored from an older backup lists servers as ready that have left since.
///
/// Example:
///     departures.mark_leaving("i-1", start_time_ms, duration{4'000}, now);
///     if (departures.is_leaving(entry)) { ... }
/// Ownership: a value.  Thread safety: none.
class departure_tracker {
 public:
  /// Records that the server itself announced that this incarnation is leaving.
  /// \param gossip_for how long the notice is gossiped; a repeated notice does not extend it.
  /// \returns true if the notice is new.
  bool mark_leaving(std::string_view server, std::int64_t start_time_ms, duration gossip_for,
                    time_point now);
  /// Records that the list of store era `era` no longer contains the incarnation.
  void record_removed(const server_entry& entry, std::int64_t era, time_point now);
  /// Records that the list of store era `era` contains the incarnation.
  void record_listed(const server_entry& entry, std::int64_t era, time_point now);
  /// \returns whether the incarnation is known to be leaving.
  [[nodiscard]] bool is_leaving(const server_entry& entry) const;
  /// \returns whether the entry had been removed and was brought back only by a restore of the
  /// store.  It is confirmed once it has outlived the lease of a server that no longer renews.
  [[nodiscard]] bool is_unconfirmed(const server_entry& entry, time_point now) const;
  /// \returns the notices to gossip to other entry VMs.
  [[nodiscard]] std::vector<departure> notices_to_gossip(time_point now) const;
  /// Drops records that are too old for a store backup to bring back.
  void remove_expired(time_point now);

 private:
  struct incarnation_record {
    /// Announced that it is leaving, rather than only removed from the list.
    bool leaving = false;
    /// No longer in the list, since store era `removed_in_era`.
    bool removed = false;
    std::int64_t removed_in_era = 0;
    /// Brought back by a restore; receives no work until then.
    time_point unconfirmed_until;
    time_point gossip_until;
    time_point noted_at;
  };
  using incarnation_key = std::pair<std::string, std::int64_t>;

  [[nodiscard]] const incarnation_record* find(const server_entry& entry) const;

  std::map<incarnation_key, incarnation_record> incarnations_;
};

}  // namespace hawthornnotch::servers

#endif  // HAWTHORNNOTCH_SERVERS_DEPARTURES_H_
