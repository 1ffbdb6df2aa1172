/// \file
/// Work that arrives for the services whose servers are ordered.
#ifndef HAWTHORNNOTCH_AUTOSCALE_DEMAND_METER_H_
#define HAWTHORNNOTCH_AUTOSCALE_DEMAND_METER_H_

#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>

#include "hawthornnotch/autoscale/fleet_state.h"
#include "hawthornnotch/replication/record.h"

namespace hawthornnotch::autoscale {

/// Counts what this VM sends to servers, and reads what all VMs have published.
///
/// Each VM publishes one record of topic demand for each service, with the rates of the last 2 s.
/// A service that is not watched is not counted.
///
/// Example:
///     meter.watch({"forecast"});
///     meter.record_sent("forecast", 3'720, now);
///     records.write(topic::demand, "forecast", meter.values("forecast", now), now);
/// Ownership: a value.  Thread safety: none.
class demand_meter {
 public:
  /// Sets the services to count.
  void watch(const std::set<std::string, std::less<>>& services);
  /// \returns the services that are counted.
  [[nodiscard]] const std::set<std::string, std::less<>>& watched() const { return watched_; }
  /// Records a request that is sent to a server.
  /// \param prefill_tokens prompt tokens that the server probably has to prefill.
  void record_sent(std::string_view service, std::uint32_t prefill_tokens, time_point now);
  /// Records the first event of an answer.
  void record_first_event(std::string_view service, bool late, time_point now);
  /// Sets the requests that wait at this VM.
  void set_waiting(std::string_view service, std::uint32_t waiting);
  /// \returns the values to publish for a service.
  [[nodiscard]] std::map<std::string, std::int64_t> values(std::string_view service,
                                                           time_point now);

 private:
  static constexpr duration slot_time{500};
  static constexpr std::size_t slot_count = 4;
  /// Counts of half a second.
  struct counts {
    std::int64_t sent = 0;
    std::int64_t prefill_tokens = 0;
    std::int64_t first_events = 0;
    std::int64_t late = 0;
  };
  struct service_counts {
    std::array<counts, slot_count> slots;
    std::int64_t newest_slot = 0;
    std::uint32_t waiting = 0;
  };

  /// \returns the current counts of a service, after those that are older than 2 s were cleared;
  /// null if it is not watched.
  counts* current(std::string_view service, time_point now);

  std::set<std::string, std::less<>> watched_;
  std::map<std::string, service_counts, std::less<>> services_;
};

/// Adds the rates that the VMs published for a service to its demand.  VMs whose record is not
/// known, because it has not arrived in time or their release writes none, count as the mean of the
/// others. \param live_vms entry VMs that are alive, this one included.
void add_published(std::span<const replication::record* const> records, std::string_view service,
                   std::size_t live_vms, service_demand& into);

}  // namespace hawthornnotch::autoscale

#endif  // HAWTHORNNOTCH_AUTOSCALE_DEMAND_METER_H_
