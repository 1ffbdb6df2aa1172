/// \file
/// Starts of backend servers that get no new work any more, remembered beyond the server list.
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

/// A server that says it leaves, as entry VMs tell each other.
struct departure {
  std::string server;
  /// Start that leaves, calendar time in milliseconds.
  std::int64_t start_time_ms = 0;
  /// How much longer VMs pass it on; the list names it meanwhile.
  duration remaining;
};

/// Remembers which starts leave or have gone.
///
/// The faults it answers: a server that says it leaves before the list does, and a store that comes
/// back from an older copy, whose list names servers as ready that had left since.
///
/// Example:
///     departures.note_leaving("i-1", born_ms, duration{4'000}, now);
///     if (departures.leaves(entry)) { ... }
/// Ownership: a value.  Thread safety: none.
class departures {
 public:
  /// The start leaves, by its own word.
  /// \param told_for how long it is passed on to others.
  /// \returns whether that is new.
  bool mark_leaving(std::string_view server, std::int64_t start_time_ms, duration told_for,
                    time_point now);
  /// The list of that era of the store names the start no longer.
  void note_gone(const server_entry& entry, std::int64_t era, time_point now);
  /// The list of that era of the store names the start.
  void note_listed(const server_entry& entry, std::int64_t era, time_point now);
  /// \returns whether the start said that it leaves.
  [[nodiscard]] bool leaves(const server_entry& entry) const;
  /// \returns whether the start had gone and only an older copy of the store brought its entry
  /// back: it stays so until the entry has outlived the time after which silent servers' entries
  /// lapse.
  [[nodiscard]] bool is_doubtful(const server_entry& entry, time_point now) const;
  /// \returns whom to tell other entry VMs of.
  [[nodiscard]] std::vector<departure> to_tell(time_point now) const;
  /// Forgets what is too old for any copy of the store to bring back.
  void forget_old(time_point now);

 private:
  struct known_start {
    /// Said that it leaves, rather than only gone from the list.
    bool leaving = false;
    /// The list names it no longer, since this era of the store.
    bool gone = false;
    std::int64_t gone_in_era = 0;
    /// An older copy brought it back: no work until then.
    time_point doubtful_until;
    time_point tell_until;
    time_point noted_at;
  };
  using start_key = std::pair<std::string, std::int64_t>;

  [[nodiscard]] const known_start* find(const server_entry& entry) const;

  std::map<start_key, known_start> starts_;
};

}  // namespace hawthornnotch::servers

#endif  // HAWTHORNNOTCH_SERVERS_DEPARTURES_H_
