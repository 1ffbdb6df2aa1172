/// \file
/// JSON encoding of gossip messages.
#ifndef HAWTHORNNOTCH_RPC_GOSSIP_CODEC_H_
#define HAWTHORNNOTCH_RPC_GOSSIP_CODEC_H_

#include <string>
#include <string_view>

#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/base/result.h"
#include "hawthornnotch/member/gossip.h"
#include "hawthornnotch/rpc/method_server.h"

namespace hawthornnotch::rpc {

/// JSON-RPC method for a gossip exchange between two agents.
inline constexpr std::string_view exchange_method = "exchange";

/// Encodes a message as JSON text.
/// \param now time of encoding; load reports are sent as ages, so clocks need not agree.
std::string encode(const member::gossip_message& message, time_point now);
/// Decodes a message.  Elements of an unknown kind are skipped, since later releases may add kinds.
/// \param now time of receipt, from which ages are subtracted.
/// \returns the message; `malformed_json` for text that is not JSON; `wrong_shape` if any field or
///          element is missing or has the wrong type.
result<member::gossip_message, codec_fault> decode_gossip(std::string_view text, time_point now);

}  // namespace hawthornnotch::rpc

#endif  // HAWTHORNNOTCH_RPC_GOSSIP_CODEC_H_
