/// \file
/// How many entry VMs may share a quota of the whole fleet.
#ifndef HAWTHORNNOTCH_RELAY_MEMBER_CENSUS_H_
#define HAWTHORNNOTCH_RELAY_MEMBER_CENSUS_H_

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "hawthornnotch/base/clock.h"

namespace hawthornnotch::relay {

/// Counts this entry VM and the others that have been heard of, those that died or were cut off
/// included: a VM that is cut off still takes its part of a quota.  A failure domain of which no VM
/// is known is assumed to be as large as the others on average, since this process may have started
/// while it was cut off.
///
/// Example:
///     member_census census("zone-a", {"zone-a", "zone-b"});
///     census.observe("entry-2", "zone-a", now);
///     census.count();  // 4: as many are assumed in zone-b
/// Ownership: a value.  Thread safety: none.
class member_census {
 public:
  /// \param own_domain the failure domain of this VM.
  /// \param failure_domains those that have entry VMs; empty if unknown.
  member_census(std::string_view own_domain, std::vector<std::string> failure_domains)
      : failure_domains_(std::move(failure_domains)), sizes_{{std::string(own_domain), 1}} {}

  /// Records that another VM gave a sign of life.  Forgets those that gave none for long; a process
  /// that hears of nobody forgets none.
  void observe(std::string_view vm, std::string_view failure_domain, time_point now);
  /// \returns whether another VM is remembered.
  [[nodiscard]] bool knows_others() const { return !members_.empty(); }
  /// \returns the number of VMs, rounded up; never 0.
  [[nodiscard]] std::size_t count() const;

 private:
  struct member {
    std::string failure_domain;
    time_point seen_at;
  };
  void forget_removed(time_point now);

  std::vector<std::string> failure_domains_;
  /// By VM.
  std::map<std::string, member, std::less<>> members_;
  /// Number of remembered VMs by failure domain, this one included.
  std::map<std::string, std::size_t, std::less<>> sizes_;
  time_point forgotten_until_;
};

}  // namespace hawthornnotch::relay

#endif  // HAWTHORNNOTCH_RELAY_MEMBER_CENSUS_H_
