#include "socket_peek.h"

#include <poll.h>

namespace hawthornnotch::net::internal {

peek_result peek(tcp::socket& socket) {
  char byte = 0;
  error_code error;
  if (socket.non_blocking(true, error)) {
    return peek_result::end;
  }
  const std::size_t count =
      socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
  if (error == asio::error::would_block) {
    return peek_result::none;
  }
  return error || count == 0 ? peek_result::end : peek_result::bytes;
}

bool has_hung_up(tcp::socket& socket) {
  constexpr int at_once = 0;
  pollfd state{socket.native_handle(), 0, 0};
  const int reported = ::poll(&state, 1, at_once);
  return reported > 0 && (state.revents & (POLLERR | POLLHUP)) != 0;
}

}  // namespace hawthornnotch::net::internal
