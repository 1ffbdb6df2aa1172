// Counts the crashes that speak against a suspect.
#ifndef HAWTHORNNOTCH_SRC_QUARANTINE_EVIDENCE_H_
#define HAWTHORNNOTCH_SRC_QUARANTINE_EVIDENCE_H_

#include <cstddef>
#include <cstdint>
#include <set>
#include <span>
#include <vector>

#include "hawthornnotch/quarantine/suspicion.h"

namespace hawthornnotch::quarantine::internal {

// All crashes that are known, whichever suspects stand beside them.
class crash_census {
 public:
  void add(std::span<const crash> crashes);
  // Call once, after the last `add`.
  void sort();
  // \returns the number of servers that crashed from `begin` on, before `end`.
  [[nodiscard]] std::size_t servers_between(time_point begin, time_point end) const;

 private:
  std::vector<crash> crashes_;
};

using server_set = std::set<std::uint32_t>;

// \returns the crashes later than the suspect's last success, in order of time.
std::span<const crash> open_crashes(const suspicion& evidence);
// \returns the number of moments at which servers crashed beside a suspect, without the servers in
// `explained`.  Crashes that follow each other closely are one moment.  One at which the suspect
// stands beside less than half of the servers that crashed does not count: it had another cause.
std::size_t count_moments(std::span<const crash> crashes, const crash_census& all,
                          const server_set& explained);
// \returns the number of moments that quarantines the suspect.
std::size_t required_moments(const suspicion& evidence);
// Adds a crash, keeps the earlier time of one that is known, and drops those beyond the limits.
// \returns whether the evidence changed.
bool add_crash(suspicion& evidence, const crash& added);

}  // namespace hawthornnotch::quarantine::internal

#endif  // HAWTHORNNOTCH_SRC_QUARANTINE_EVIDENCE_H_
