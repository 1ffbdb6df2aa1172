// Suspicions as JSON in messages between entry VMs.
#ifndef HAWTHORNNOTCH_SRC_RELAY_SUSPICION_CODEC_H_
#define HAWTHORNNOTCH_SRC_RELAY_SUSPICION_CODEC_H_

#include <boost/json.hpp>
#include <span>

#include "hawthornnotch/quarantine/suspicion.h"

namespace hawthornnotch::relay::internal {

boost::json::array encode_suspicions(std::span<const quarantine::suspicion> suspicions);
// \returns the suspicion; sets `good` to false if it is malformed.
quarantine::suspicion read_suspicion(const boost::json::object& object, bool& good);

}  // namespace hawthornnotch::relay::internal

#endif  // HAWTHORNNOTCH_SRC_RELAY_SUSPICION_CODEC_H_
