/// \file
/// The backend servers that may get work, from readings of the platform's list.
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

/// One whole reading of the platform's list.
struct list_snapshot {
  /// Drawn by the process that read it; the same in every copy that is passed on.
  std::uint64_t id = 0;
  /// Point in the store's history at which it was read.
  platform::store_version version;
  /// When it was read, by this process's monotonic clock.
  time_point read_at;
  std::vector<server_entry> entries;
};

struct server_list_settings {
  /// After an outage of the store, entries that lapsed meanwhile stay usable for this long.
  duration return_time{2'000};
  /// Time without a reading from which on the store counts as having been away.
  duration outage{3'000};
};

/// What a reading changed, for logs.
struct list_change {
  std::vector<std::string> added;
  std::vector<std::string> leaving;
  std::vector<std::string> removed;
  [[nodiscard]] bool empty() const { return added.empty() && leaving.empty() && removed.empty(); }
};

/// Merges readings in the order of the store's history.
///
/// A server that leaves never comes back under the same start.  An entry that is missing right
/// after an outage is kept until the outage is over for `return_time`, because leases may have
/// lapsed while the store was away; one that is missing at any other time is gone.  The same holds
/// where the store was restored from an older copy, which may also bring back entries of servers
/// that had gone: those get no work until their entries have proved to be renewed.
///
/// Example:
///     server_list list({});
///     list_change change = list.apply(reading, clock.now());
///     for (const server_entry* server : list.serving("forecast")) { ... }
/// Ownership: a value.  Thread safety: none.
class server_list {
 public:
  explicit server_list(server_list_settings settings) : settings_(settings) {}

  /// A reading by this process or by a peer.  One that is older than what is known is ignored; of
  /// a copy of the newest one only the age is looked at (`record_copy`).
  list_change apply(const list_snapshot& reading, time_point now);

  /// Takes in how old a peer says a reading is.  An age that is passed on lacks the time on the
  /// way, so of two ages of one reading the greater is nearer the truth.
  /// \returns whether that reading is the newest one known here.
  bool record_copy(std::uint64_t id, time_point read_at);

  /// A start of a server leaves, by its own word, whatever the list says.
  /// \param told_for how long other entry VMs are told.
  /// \returns whether that is new.
  bool mark_leaving(std::string_view server, std::int64_t start_time_ms, duration told_for,
                    time_point now);
  /// \returns the servers of which other entry VMs are told that they leave.
  [[nodiscard]] std::vector<departure> departures_to_gossip(time_point now) const {
    return departures_.to_tell(now);
  }

  /// \returns the servers of a service that may get new work; valid until the next `apply`.
  [[nodiscard]] const std::vector<const server_entry*>& serving(std::string_view service) const;
  /// \returns the known entry, also of a server that leaves, or null.
  [[nodiscard]] const server_entry* find(std::string_view id) const;
  /// The newest reading, without the entries kept over an outage; none before the first.
  [[nodiscard]] const std::optional<list_snapshot>& newest() const { return newest_; }
  /// `digest_of` the newest reading's entries; 0 before the first.
  [[nodiscard]] std::uint64_t digest() const { return digest_; }
  /// \returns how old the newest reading is; none before the first.
  [[nodiscard]] std::optional<duration> age(time_point now) const;
  [[nodiscard]] std::size_t size() const { return known_.size(); }

 private:
  struct known_server {
    server_entry entry;
    /// Listed by the newest reading, not only kept.
    bool listed = true;
  };

  void note_gap(const list_snapshot& reading);
  void merge_listed(const list_snapshot& reading, time_point now, list_change& change);
  void drop_missing(const list_snapshot& reading, time_point now, list_change& change);
  void rebuild_index(time_point now);

  server_list_settings settings_;
  std::optional<list_snapshot> newest_;
  std::uint64_t digest_ = 0;
  /// Missing entries are kept until then.
  time_point keep_missing_until_;
  std::map<std::string, known_server, std::less<>> known_;
  std::map<std::string, std::vector<const server_entry*>, std::less<>> by_service_;
  departures departures_;
};

}  // namespace hawthornnotch::servers

#endif  // HAWTHORNNOTCH_SERVERS_SERVER_LIST_H_
