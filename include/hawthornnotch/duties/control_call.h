/// \file
/// Calls to the platform's control address, which only the holder of the duties makes.
#ifndef HAWTHORNNOTCH_DUTIES_CONTROL_CALL_H_
#define HAWTHORNNOTCH_DUTIES_CONTROL_CALL_H_

#include <cstdint>
#include <map>
#include <string>

namespace hawthornnotch::duties {

/// Who makes a call, and in which term.
struct call_identity {
  /// The VM that holds the duties.
  std::string holder;
  /// Increases with each change of the holder.
  std::uint64_t fencing = 0;
};

/// Requests of each workspace that began to run in one window.
struct usage_report {
  /// Number of the window: windows of equal length are counted from 1970.
  std::int64_t window = 0;
  /// By workspace.
  std::map<std::string, std::int64_t> counts;
  bool operator==(const usage_report&) const = default;
};

/// An order that a service shall have a number of servers of one kind in a failure domain.
struct server_order {
  std::string service;
  std::string failure_domain;
  std::uint32_t desired = 0;
  /// Servers that cost less and that the platform may reclaim.
  bool preemptible = false;
  bool operator==(const server_order&) const = default;
};

enum class call_outcome : std::uint8_t {
  accepted,
  /// No such server is available there at the moment.
  unavailable,
  /// The fleet makes more calls than the platform takes.
  rate_limited,
  /// The platform refused the call for another reason; a repeat would be refused too.
  rejected,
  /// No answer, or a server error; the call may have taken effect.
  failed,
};

}  // namespace hawthornnotch::duties

#endif  // HAWTHORNNOTCH_DUTIES_CONTROL_CALL_H_
