/// \file
/// Divides a server's rate limit into time slots that are each owned by one entry VM.
#ifndef HAWTHORNNOTCH_DISPATCH_SLOT_SCHEDULE_H_
#define HAWTHORNNOTCH_DISPATCH_SLOT_SCHEDULE_H_

#include <cstdint>
#include <string_view>
#include <vector>

#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/servers/rate_limit.h"

namespace hawthornnotch::dispatch {

/// Hashes of the names of the entry VMs that divide the limits among them.
struct fleet_members {
  std::uint64_t self = 0;
  std::vector<std::uint64_t> others;
};

/// The slots of one server at one rate, on the fleet clock.
///
/// The owner of a slot is found by a rendezvous hash, so entry VMs that know the same members agree
/// on it without a message.  Where their views differ, a slot has two owners only if neither knows
/// the other or if the one that ranks lower does not know the higher one.
///
/// Ownership: a value.  Thread safety: none.
class slot_schedule {
 public:
  /// \param server identifies the server's incarnation; the schedules of servers are independent.
  /// \param rate greater than 0.
  slot_schedule(std::uint64_t server, servers::request_rate rate);

  /// \returns the number of the slot at a time of the fleet clock.
  [[nodiscard]] std::int64_t slot_at(time_point fleet_time) const;
  /// \returns when a slot begins, on the fleet clock.
  [[nodiscard]] time_point start_of(std::int64_t slot) const;
  /// \returns the number of requests that the owner of a slot may send.
  [[nodiscard]] std::int64_t permits_in(std::int64_t slot) const;
  [[nodiscard]] bool owned_by_self(const fleet_members& members, std::int64_t slot) const;
  [[nodiscard]] duration slot_length() const { return slot_length_; }
  /// \returns how long after the start of its slot a permit may be used.
  [[nodiscard]] duration permit_lifetime() const { return permit_lifetime_; }

 private:
  std::uint64_t server_;
  duration slot_length_;
  duration permit_lifetime_;
  // Permits of a slot in units of `permit_unit`.
  std::int64_t units_per_slot_;
  // Shifts the slots, so that those of different servers do not begin together.
  std::int64_t phase_ms_;
};

}  // namespace hawthornnotch::dispatch

#endif  // HAWTHORNNOTCH_DISPATCH_SLOT_SCHEDULE_H_
