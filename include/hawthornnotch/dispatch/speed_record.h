/// \file
/// The slowness of servers in the form of record values, which the entry VMs share.
#ifndef HAWTHORNNOTCH_DISPATCH_SPEED_RECORD_H_
#define HAWTHORNNOTCH_DISPATCH_SPEED_RECORD_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

#include "hawthornnotch/dispatch/dispatcher.h"

namespace hawthornnotch::dispatch {

using speed_values = std::map<std::string, std::int64_t>;

/// \returns the values of as many records as needed, each with at most `limit` servers.
[[nodiscard]] std::vector<speed_values> to_record_values(std::span<const server_speed> speeds,
                                                         std::size_t limit);

/// \returns the servers of a record; those with implausible values are left out.
/// \param age time since the record was written.
[[nodiscard]] std::vector<server_speed> from_record_values(const speed_values& values,
                                                           duration age);

}  // namespace hawthornnotch::dispatch

#endif  // HAWTHORNNOTCH_DISPATCH_SPEED_RECORD_H_
