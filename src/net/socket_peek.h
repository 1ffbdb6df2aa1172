// Checks the state of a socket without consuming received bytes and without blocking.
#ifndef HAWTHORNNOTCH_SRC_NET_SOCKET_PEEK_H_
#define HAWTHORNNOTCH_SRC_NET_SOCKET_PEEK_H_

#include "beast_support.h"

namespace hawthornnotch::net::internal {

enum class peek_result {
  /// No bytes to read; the connection is open.
  none,
  /// At least one byte is available.
  bytes,
  /// The peer has closed its side, or the connection has failed.
  end,
};

/// Never blocks, even if the event loop reported a readable socket that no longer is: another
/// operation may have read the bytes before the event was handled.
/// \post the socket is in non-blocking mode.
peek_result peek(tcp::socket& socket);

/// Leaves a pending error to the next call on the socket, unlike `peek`.
/// \returns whether the connection was reset or timed out, so that neither side can send.
bool has_hung_up(tcp::socket& socket);

}  // namespace hawthornnotch::net::internal

#endif  // HAWTHORNNOTCH_SRC_NET_SOCKET_PEEK_H_
