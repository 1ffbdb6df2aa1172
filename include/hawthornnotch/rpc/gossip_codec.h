/// \file
/// Text form of what agents exchange.
#ifndef HAWTHORNNOTCH_RPC_GOSSIP_CODEC_H_
#define HAWTHORNNOTCH_RPC_GOSSIP_CODEC_H_

#include <string>
#include <string_view>

#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/base/result.h"
#include "hawthornnotch/member/gossip.h"
#include "hawthornnotch/rpc/method_server.h"

namespace hawthornnotch::rpc {

/// Name of the method by which agents exchange.
inline constexpr std::string_view exchange_method = "exchange";

/// \param now when the text is written; load reports travel as ages.
std::string encode(const member::gossip_message& message, time_point now);
/// Elements of a kind that this release does not know are skipped; a mistyped one fails the whole.
result<member::gossip_message, codec_fault> decode_gossip(std::string_view text, time_point now);

}  // namespace hawthornnotch::rpc

#endif  // HAWTHORNNOTCH_RPC_GOSSIP_CODEC_H_
