/// \file
/// What an entry VM leaves in the platform's store for processes that start after all have ended.
#ifndef HAWTHORNNOTCH_STREAMS_STREAM_RECORD_H_
#define HAWTHORNNOTCH_STREAMS_STREAM_RECORD_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "hawthornnotch/base/result.h"
#include "hawthornnotch/streams/stream_origin.h"
#include "hawthornnotch/streams/version_history.h"
#include "hawthornnotch/streams/vm_declaration.h"

namespace hawthornnotch::streams {

struct stream_record {
  /// The recent versions of each service that has more than one.
  version_sets recent_versions;
  /// The unfinished streams of these services that began on the VM; ages are not kept.
  std::vector<stream_origin> streams;
  /// In the record of a VM: how its streams begin that are not named here, by service.
  begin_rules rules;
  /// In the record of a VM: entry VMs that it remembers, itself included; 0 if it names none.
  std::int64_t known_vms = 0;
  /// In the record of the fleet: era of the store in which it was written by a VM that knows of no
  /// lost record, see `record_trust`.  Processes of an earlier build write none.
  std::optional<std::int64_t> era;
  bool operator==(const stream_record&) const = default;
  /// \returns what the VM declares.
  [[nodiscard]] vm_declaration declaration() const {
    return {recent_versions, rules, known_vms, true};
  }
};

enum class record_failure : std::uint8_t { malformed };

[[nodiscard]] std::string encode(const stream_record& record);
/// \returns the record, with all ages 0; fails if anything in it is malformed.
[[nodiscard]] result<stream_record, record_failure> decode_stream_record(std::string_view text);

}  // namespace hawthornnotch::streams

#endif  // HAWTHORNNOTCH_STREAMS_STREAM_RECORD_H_
