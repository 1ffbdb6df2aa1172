/// \file
/// The backend servers that may receive work, merged from snapshots of the platform's list.
#ifndef HAWTHORNNOTCH_SERVERS_SERVER_LIST_H_
#define HAWTHORNNOTCH_SERVERS_SERVER_LIST_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/platform/store_version.h"
#include "hawthornnotch/servers/departures.h"
#include "hawthornnotch/servers/server_entry.h"

namespace hawthornnotch::servers {

/// A complete read of the platform's server list.
struct list_snapshot {
  /// Random id chosen by the process that read the list; kept by every gossiped copy.
  std::uint64_t id = 0;
  /// Version of the store at which it was read.
  platform::store_version version;
  /// Time of the read on this process's monotonic clock.
  time_point read_at;
  std::vector<server_entry> entries;
};

struct server_list_settings {
  /// How long entries that are missing after a store outage or restore stay usable.
  duration missing_entry_grace{2'000};
  /// Interval between two snapshots above which the store is assumed to have been unavailable.
  duration outage_threshold{3'000};
};

/// Server ids that a snapshot added, marked as leaving or removed; for logging.
struct list_change {
  std::vector<std::string> added;
  std::vector<std::string> leaving;
  std::vector<std::string> removed;
  [[nodiscard]] bool empty() const { return added.empty() && leaving.empty() && removed.empty(); }
};

/// Merges snapshots in store version order.
///
/// A leaving server never becomes available again in the same incarnation.  An entry that is
/// missing from a snapshot is removed at once, except after an outage or a restore of the store:
/// leases may have expired meanwhile, so missing entries are kept for `missing_entry_grace`.  A
/// restore from an older backup may also bring back entries that had been removed; they receive no
/// work until they have proved to be renewed, unless their service has no other servers.
///
/// Example:
///     server_list list({});
///     list_change change = list.apply(snapshot, clock.now());
///     for (const server_entry* server : list.serving("forecast")) { ... }
/// Ownership: a value.  Thread safety: none.
class server_list {
 public:
  explicit server_list(server_list_settings settings) : settings_(settings) {}

  /// Merges a snapshot read by this process or by a peer.  A snapshot older than the newest known
  /// one is ignored; a copy of the newest one only updates its age (see `record_copy`).
  list_change apply(const list_snapshot& snapshot, time_point now);

  /// Updates the newest snapshot's read time from a gossiped copy.  A gossiped age lacks the
  /// network delay, so the greater of two ages of one snapshot is the more accurate.
  /// \returns whether `id` is the newest snapshot known here.
  bool record_copy(std::uint64_t id, time_point read_at);

  /// Marks an incarnation as leaving on the server's own notice; later snapshots do not undo it.
  /// \param gossip_for how long the notice is gossiped to other entry VMs.
  /// \returns true if the notice is new.
  bool mark_leaving(std::string_view server, std::int64_t start_time_ms, duration gossip_for,
                    time_point now);
  /// \returns the leave notices to gossip to other entry VMs.
  [[nodiscard]] std::vector<departure> departures_to_gossip(time_point now) const {
    return departures_.notices_to_gossip(now);
  }

  /// \returns the servers of a service that may receive new work; valid until the next `apply` or
  /// `mark_leaving`.
  [[nodiscard]] const std::vector<const server_entry*>& serving(std::string_view service) const;
  /// \returns the entry, including that of a leaving server, or null if the id is unknown.
  [[nodiscard]] const server_entry* find(std::string_view id) const;
  /// \returns the newest snapshot, without entries kept after an outage; none before the first.
  [[nodiscard]] const std::optional<list_snapshot>& newest() const { return newest_; }
  /// \returns `digest_of` the newest snapshot's entries; 0 before the first.
  [[nodiscard]] std::uint64_t digest() const { return digest_; }
  /// \returns the age of the newest snapshot; none before the first.
  [[nodiscard]] std::optional<duration> age(time_point now) const;
  [[nodiscard]] std::size_t size() const { return known_.size(); }

 private:
  struct known_server {
    server_entry entry;
    /// In the newest snapshot, rather than kept after an outage.
    bool listed = true;
  };

  void detect_outage(const list_snapshot& snapshot);
  void merge_listed(const list_snapshot& snapshot, time_point now, list_change& change);
  void drop_missing(const list_snapshot& snapshot, time_point now, list_change& change);
  void rebuild_index(time_point now);

  server_list_settings settings_;
  std::optional<list_snapshot> newest_;
  std::uint64_t digest_ = 0;
  /// Missing entries are kept until this time.
  time_point missing_entry_grace_until_;
  std::map<std::string, known_server, std::less<>> known_;
  std::map<std::string, std::vector<const server_entry*>, std::less<>> by_service_;
  departure_tracker departures_;
};

}  // namespace hawthornnotch::servers

#endif  // HAWTHORNNOTCH_SERVERS_SERVER_LIST_H_
