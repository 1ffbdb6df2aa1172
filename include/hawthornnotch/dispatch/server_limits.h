/// \file
/// The rate limits that backend servers name, and this entry VM's part of them.
#ifndef HAWTHORNNOTCH_DISPATCH_SERVER_LIMITS_H_
#define HAWTHORNNOTCH_DISPATCH_SERVER_LIMITS_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/dispatch/slot_schedule.h"
#include "hawthornnotch/relay/fleet_clock.h"
#include "hawthornnotch/servers/rate_limit.h"

namespace hawthornnotch::dispatch {

/// One run of a backend server.
struct server_incarnation {
  std::string_view server;
  /// Unix time in milliseconds.
  std::int64_t start_time_ms = 0;
};

/// Whether a request may be sent to a server now.
enum class permit : std::uint8_t {
  /// The server names no limit.
  unlimited,
  /// One permit of this VM was used up.
  taken,
  /// The server names a limit, and this VM has no permit now.
  none,
};

/// A limit in force at one server.
struct limit_summary {
  std::string server;
  servers::request_rate rate;
  /// Time since the server last named it.
  duration age;
  /// Requests that this VM may send now.
  std::int64_t permits = 0;
};

/// A limit that was learned or changed, or that ended.
struct limit_change {
  std::string server;
  /// None if no limit was known.
  std::optional<servers::request_rate> before;
  /// None if the limit has ended.
  std::optional<servers::request_rate> now;
};

/// Keeps the limits that servers name for all entry VMs together, without asking another VM: the
/// time of each limited server is divided into slots, and this VM sends only in those that it owns
/// (see `slot_schedule`).  A limit applies to one incarnation of a server.
///
/// Example:
///     limits.record_answer(server, limited_to{rate}, sent_at, now);
///     if (limits.has_permit(server, now)) { limits.take(server, now); send(); }
/// Ownership: a value.  Thread safety: none.
class server_limits {
 public:
  /// Begins to take part: sets the name of this VM and the time at which the process started.
  /// Until then and for a short time after, this VM has no permits, as it does not know the other
  /// VMs yet.
  void start(std::string_view vm, time_point now);
  /// Replaces the hashes of the other entry VMs' names, those that are cut off or dead included.
  void set_other_members(std::vector<std::uint64_t> others);

  /// Records what an answer said of its server's limit.  Answers may overtake each other: one to a
  /// request sent before the limit was last named neither ends nor raises it.
  /// \returns the change, if there is one.
  std::optional<limit_change> record_answer(const server_incarnation& server,
                                            const servers::limit_notice& notice, time_point sent_at,
                                            time_point now);
  /// Records what another entry VM knows; the newest observation wins.
  std::optional<limit_change> record_peer(const servers::rate_limit& known, time_point now);
  /// \returns up to `count` limits, and ends of limits, to gossip; others in the next calls.
  [[nodiscard]] std::vector<servers::rate_limit> limits_to_gossip(std::size_t count);

  [[nodiscard]] bool has_permit(const server_incarnation& server, time_point now);
  /// Takes a permit for one request.
  [[nodiscard]] permit take(const server_incarnation& server, time_point now);
  /// \returns the limit in force; none if the server names none.
  [[nodiscard]] std::optional<limit_summary> find(const server_incarnation& server, time_point now);
  /// \returns the time between two slots of a limited server, after which some VM may send to it
  /// again; none if the server names no limit.
  [[nodiscard]] std::optional<duration> slot_length(const server_incarnation& server) const;
  /// \returns all limits in force, for metrics.
  [[nodiscard]] std::vector<limit_summary> summary(time_point now);
  /// Drops the limits of servers for which `listed` returns false and that have not named them
  /// lately, and forgets ends of limits that were gossiped long enough.
  template <class Predicate>
  void drop_expired(Predicate listed, time_point now) {
    std::erase_if(limits_, [&](const auto& each) {
      return is_expired(each.second, listed(each.first), now);
    });
  }

  [[nodiscard]] const fleet_members& members() const { return members_; }
  [[nodiscard]] time_point fleet_time(time_point now) const { return clock_.at(now); }
  /// Applies the fleet time of another entry VM.
  void observe_fleet_time(time_point reading, time_point now) { clock_.advance_to(reading, now); }

 private:
  // Permits of one slot that have not been used.
  struct held_permits {
    time_point expires_at;
    std::int64_t count = 0;
  };
  struct limit {
    std::int64_t start_time_ms = 0;
    /// None if it has ended.
    std::optional<servers::request_rate> rate;
    /// When the server last said so, on the fleet clock.
    time_point observed_at;
    /// The same on this VM's clock, or when a peer's report of it arrived.
    time_point confirmed_at;
    std::optional<slot_schedule> schedule;
    std::int64_t last_slot = 0;
    std::deque<held_permits> permits;
  };

  [[nodiscard]] bool is_settled(time_point now) const;
  [[nodiscard]] static bool is_expired(const limit& known, bool listed, time_point now);
  // \returns the limit of the incarnation; null if none is in force.
  template <class Limits>
  [[nodiscard]] static auto find_in_force(Limits& limits, const server_incarnation& server)
      -> decltype(&limits.begin()->second);
  std::optional<limit_change> replace(const server_incarnation& server,
                                      std::optional<servers::request_rate> rate,
                                      time_point observed_at, time_point now);
  // Adds the permits of slots that have begun and drops those that have expired.
  void refresh_permits(limit& known, time_point now) const;
  [[nodiscard]] limit_summary summarize(std::string_view server, limit& known,
                                        time_point now) const;

  std::optional<time_point> started_at_;
  relay::fleet_clock clock_{time_point{}};
  fleet_members members_;
  // By server id.
  std::map<std::string, limit, std::less<>> limits_;
  // The last server that `limits_to_gossip` visited.
  std::string last_gossiped_;
};

}  // namespace hawthornnotch::dispatch

#endif  // HAWTHORNNOTCH_DISPATCH_SERVER_LIMITS_H_
