/// \file
/// A small piece of state that one entry VM publishes to all others.
#ifndef HAWTHORNNOTCH_REPLICATION_RECORD_H_
#define HAWTHORNNOTCH_REPLICATION_RECORD_H_

#include <compare>
#include <cstdint>
#include <map>
#include <string>

#include "hawthornnotch/base/clock.h"

namespace hawthornnotch::replication {

/// What a record is about.  The values are part of the encoding.
enum class topic : std::uint8_t {
  /// Requests that began to run, by workspace and window.
  usage,
  /// Work that arrives at an entry VM, by service.
  demand,
  /// State of the duties that one VM holds at a time.
  duty,
  /// Momentary load of backend servers.
  load,
};

inline constexpr std::size_t topic_count = 4;

/// Identifies a record.  Only the process that it names writes it.
struct record_key {
  std::string vm;
  /// Differs for each start of the process.
  std::string incarnation;
  topic about = topic::usage;
  /// Tells the records of one process and topic apart.
  std::string subject;
  auto operator<=>(const record_key&) const = default;  // NOLINT(modernize-use-nullptr)
};

struct record {
  record_key key;
  /// Increases with each write of the process.
  std::uint64_t version = 0;
  /// Time since it was written.
  duration age;
  std::map<std::string, std::int64_t> values;
};

}  // namespace hawthornnotch::replication

#endif  // HAWTHORNNOTCH_REPLICATION_RECORD_H_
