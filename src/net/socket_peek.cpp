#include "socket_peek.h"

namespace hawthornnotch::net::internal {

arrival peek(tcp::socket& socket) {
  char byte = 0;
  error_code error;
  if (socket.non_blocking(true, error)) {
    return arrival::end;
  }
  const std::size_t count =
      socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
  if (error == asio::error::would_block) {
    return arrival::none;
  }
  return error || count == 0 ? arrival::end : arrival::bytes;
}

}  // namespace hawthornnotch::net::internal
