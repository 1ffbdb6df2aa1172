/// \file
/// Headers that concern a message from end to end rather than one connection.
#ifndef HAWTHORNNOTCH_NET_END_TO_END_H_
#define HAWTHORNNOTCH_NET_END_TO_END_H_

#include "hawthornnotch/net/http_message.h"

namespace hawthornnotch::net {

/// \returns the end-to-end headers: all but the hop-by-hop ones and those named in `Connection`.
[[nodiscard]] header_list end_to_end_headers(const header_list& headers);

}  // namespace hawthornnotch::net

#endif  // HAWTHORNNOTCH_NET_END_TO_END_H_
