// Replicated records as JSON in messages between entry VMs.
#ifndef HAWTHORNNOTCH_SRC_RELAY_RECORD_CODEC_H_
#define HAWTHORNNOTCH_SRC_RELAY_RECORD_CODEC_H_

#include <boost/json.hpp>
#include <span>

#include "hawthornnotch/replication/record.h"

namespace hawthornnotch::relay::internal {

boost::json::array encode_records(std::span<const replication::record> records);
// \returns the record; sets `good` to false if it is malformed.
replication::record read_record(const boost::json::object& object, bool& good);

}  // namespace hawthornnotch::relay::internal

#endif  // HAWTHORNNOTCH_SRC_RELAY_RECORD_CODEC_H_
