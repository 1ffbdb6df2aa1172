// Looks at what has arrived on a socket without taking it and without waiting.
#ifndef HAWTHORNNOTCH_SRC_NET_SOCKET_PEEK_H_
#define HAWTHORNNOTCH_SRC_NET_SOCKET_PEEK_H_

#include "beast_support.h"

namespace hawthornnotch::net::internal {

enum class arrival {
  /// Nothing to read yet; the peer may send more.
  none,
  /// At least one byte can be read.
  bytes,
  /// The peer has closed its side, or the connection is broken.
  end,
};

/// Never blocks, also where the event loop took the socket for readable and it is not: another
/// operation may have read the bytes before the event was handled.
/// \post the socket is in non-blocking mode.
arrival peek(tcp::socket& socket);

}  // namespace hawthornnotch::net::internal

#endif  // HAWTHORNNOTCH_SRC_NET_SOCKET_PEEK_H_
