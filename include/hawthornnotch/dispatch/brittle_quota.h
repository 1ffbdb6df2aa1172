/// \file
/// How many requests this entry VM may have under way at servers that bear few rejections.
#ifndef HAWTHORNNOTCH_DISPATCH_BRITTLE_QUOTA_H_
#define HAWTHORNNOTCH_DISPATCH_BRITTLE_QUOTA_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/dispatch/server_limits.h"
#include "hawthornnotch/dispatch/server_state.h"

namespace hawthornnotch::dispatch {

/// Requests under way at one server.
struct requests_in_flight {
  std::uint32_t own = 0;
  /// Of all entry VMs, as far as known.
  std::uint32_t all = 0;
};

/// What this VM has and may have under way at all servers of a service that take work.
struct service_size {
  /// Requests of this VM under way at all of them.
  std::uint32_t own_in_flight = 0;
  /// This VM's shares of their slots.
  std::uint32_t own_places = 0;
};

/// A server at which one more request might be sent.
struct room_query {
  server_incarnation server;
  std::uint32_t slots = 0;
  requests_in_flight in_flight;
};

/// Keeps the entry VMs together from sending brittle servers more than they have room for, without
/// asking another VM.
///
/// While a service is brittle no request is sent to wait at its servers.  A server's room is dealt
/// to the VMs by a rendezvous hash, so that their shares add up to it where they know the same VMs.
/// A VM that has no place at any server sends one request at a time where there is much room.  The
/// room is the server's slots, or what it was seen to run while others waited there or while it
/// rejected one.
///
/// Example:
///     quota.record_notice("forecast", 3, now);
///     if (!quota.has_place(query, size, now)) { try_another(); }
/// Ownership: a value.  Thread safety: none.
class brittle_quota {
 public:
  /// Records that a server of the service named the rejections a second that it bears.
  /// \returns whether the service was not known as brittle.
  bool record_notice(std::string_view service, std::uint32_t rejections_per_s, time_point now);
  /// Sets the entry VMs that the servers' room is dealt to.
  void set_members(const fleet_members& members);
  /// \returns this VM's share of a server's `places`.
  [[nodiscard]] std::uint32_t share_of(std::uint32_t places, const server_incarnation& server);
  [[nodiscard]] bool is_brittle(std::string_view service, time_point now) const;
  /// Records the load that an answer of the server reports.
  /// \param own requests of this VM under way there.
  void record_load(const server_incarnation& server, const reported_load& load, std::uint32_t own,
                   time_point now);
  /// Records that the server had no room.
  void record_rejection(const server_incarnation& server, const requests_in_flight& at_server,
                        time_point now);
  /// \returns whether this VM may send one more request to the server.
  [[nodiscard]] bool has_place(const room_query& query, const service_size& size, time_point now);

 private:
  struct notice {
    std::uint32_t rejections_per_s = 0;
    time_point at;
  };
  struct room {
    std::int64_t start_time_ms = 0;
    /// Requests that the server ran or held when it was found full; none so far.
    std::optional<std::uint32_t> when_full;
    time_point full_at;
    /// Requests of other VMs that the server reported.
    std::uint32_t reported_others = 0;
    time_point reported_at;
  };
  room& room_of(const server_incarnation& server);
  [[nodiscard]] const room* find(const server_incarnation& server) const;
  // \returns the requests that the server holds, as far as known.
  [[nodiscard]] static std::uint32_t held_at(const room* known, const requests_in_flight& in_flight,
                                             time_point now);

  /// By service.
  std::map<std::string, notice, std::less<>> notices_;
  /// By server.
  std::map<std::string, room, std::less<>> rooms_;
  fleet_members members_;
  /// By server incarnation: how many VMs rank before this one, for the members set last.
  std::map<std::uint64_t, std::uint32_t> ranks_;
};

}  // namespace hawthornnotch::dispatch

#endif  // HAWTHORNNOTCH_DISPATCH_BRITTLE_QUOTA_H_
