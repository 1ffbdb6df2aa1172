/// \file
/// Finds the prompt parts and requests that crash backend servers, and refuses them.
#ifndef HAWTHORNNOTCH_QUARANTINE_SUSPECT_TABLE_H_
#define HAWTHORNNOTCH_QUARANTINE_SUSPECT_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

#include "hawthornnotch/dispatch/slot_schedule.h"
#include "hawthornnotch/quarantine/success_memory.h"
#include "hawthornnotch/quarantine/suspicion.h"

namespace hawthornnotch::quarantine {

namespace internal {
class crash_census;
}

/// Why a request is refused.
struct verdict {
  fingerprint what;
  /// Crashes that it explains.
  std::size_t crashes = 0;
  /// Time since the newest of them.
  duration age;
};

/// A suspect that was quarantined or released.
struct quarantine_change {
  fingerprint what;
  bool quarantined = false;
  /// Known crashes of servers at which a request with it waited.
  std::size_t crashes = 0;
  /// Those of them that are later than its last success.
  std::size_t open_crashes = 0;
};

/// Decides which prompt part or which request crashes servers ("query of death"), from the crashes
/// and successes that all entry VMs observe.
///
/// A crash accuses the requests that waited for their first event there, and each of their parts. A
/// first event clears them of all earlier crashes, since the server survived it. Of the suspects
/// that remain, the one that explains the most crashes is quarantined once there are enough of
/// them; crashes that it explains accuse no other suspect. Crashes at the same moment count once:
/// they have a common cause, which no single request can be.
///
/// The evidence is a set of crashes and the time of the last success by suspect; merging it is
/// commutative and idempotent, so all entry VMs come to the same result without an owner. All times
/// are of the fleet clock.
///
/// Example:
///     table.record_crash(server, carried, now);
///     if (auto refused = table.find_quarantined(carried, members, now)) { refuse(*refused); }
/// Ownership: a value.  Thread safety: none.
class suspect_table {
 public:
  /// Records that a server crashed before it began to answer a request.
  /// \param server hash of the server's incarnation.
  /// \param carried the fingerprints of the request, in order.
  void record_crash(std::uint32_t server, std::span<const fingerprint> carried, time_point now);
  /// Records that a server began to answer a request.
  void record_success(std::span<const fingerprint> carried, time_point now);
  /// Merges what another entry VM knows.
  void merge(std::span<const suspicion> known, time_point now);

  /// \returns why a request must not be sent; none if it may be.  At long intervals, one entry VM
  /// may send a single request to find out whether it still crashes servers.
  /// \param members the entry VMs among which that one is chosen.
  [[nodiscard]] std::optional<verdict> find_quarantined(std::span<const fingerprint> carried,
                                                        const dispatch::fleet_members& members,
                                                        time_point now);

  /// \returns up to `count` suspicions to gossip: those changed lately, then quarantined ones in
  /// turn over successive calls.
  [[nodiscard]] std::vector<suspicion> suspicions_to_gossip(std::size_t count);
  /// \returns whether something was quarantined or released since the last call; peers should be
  /// told at once.
  [[nodiscard]] bool take_news();
  /// \returns the changes since the last call.
  [[nodiscard]] std::vector<quarantine_change> take_changes();
  [[nodiscard]] std::size_t suspect_count() const { return suspects_.size(); }
  [[nodiscard]] std::size_t quarantined_count() const;

 private:
  struct suspect {
    suspicion evidence;
    bool quarantined = false;
    /// Messages in which the last change is still gossiped.
    std::uint32_t gossip_left = 0;
    /// When this VM sent a request in spite of the quarantine.
    std::optional<time_point> probed_at;
  };
  using suspects = std::map<fingerprint, suspect>;

  [[nodiscard]] success_memory& successes_of(suspect_kind kind) {
    return kind == suspect_kind::prompt_part ? successful_parts_ : successful_requests_;
  }
  [[nodiscard]] suspect& find_or_add(const fingerprint& what, time_point now);
  /// \returns whether it cleared the suspect of a crash or is its first success.
  bool add_success(suspect& known, time_point at);
  bool merge_one(const suspicion& theirs, time_point now);
  /// Decides anew which suspects are quarantined.
  void evaluate();
  /// Takes the suspect to be quarantined next out of `open`.  \returns it; null if there is none.
  [[nodiscard]] static suspect* next_culprit(std::vector<suspect*>& open,
                                             const internal::crash_census& all,
                                             const std::set<std::uint32_t>& explained);
  void set_quarantined(suspect& known, bool quarantined);
  [[nodiscard]] static bool may_probe(const suspect& known, const dispatch::fleet_members& members,
                                      time_point now);
  void drop_expired(time_point now);
  void make_room();

  suspects suspects_;
  /// One each, since the many requests would displace the parts.
  success_memory successful_parts_;
  success_memory successful_requests_;
  std::vector<quarantine_change> changes_;
  bool news_ = false;
  /// The last quarantined suspect that was gossiped in turn.
  fingerprint last_gossiped_;
};

}  // namespace hawthornnotch::quarantine

#endif  // HAWTHORNNOTCH_QUARANTINE_SUSPECT_TABLE_H_
