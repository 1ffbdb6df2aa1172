/// \file
/// Carries out one run of load.
#ifndef HAWTHORNNOTCH_LOAD_RUNNER_H_
#define HAWTHORNNOTCH_LOAD_RUNNER_H_

#include <iosfwd>

#include "hawthornnotch/load/results.h"
#include "hawthornnotch/load/settings.h"

namespace hawthornnotch::load {

/// Sends the whole schedule, waits for the answers at most as long as a caller would, reads the
/// stand-ins' counters and adds all up.  Blocks; bounded in time by length and patience.
/// \param progress receives a line every few seconds.
run_result run_load(const load_settings& settings, std::ostream& progress);

}  // namespace hawthornnotch::load

#endif  // HAWTHORNNOTCH_LOAD_RUNNER_H_
