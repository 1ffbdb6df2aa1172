// Beast helpers shared by server and client: completion token, timeouts and error mapping.
#ifndef HAWTHORNNOTCH_SRC_NET_BEAST_SUPPORT_H_
#define HAWTHORNNOTCH_SRC_NET_BEAST_SUPPORT_H_

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>

#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/net/http_message.h"

namespace hawthornnotch::net::internal {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

using boost::system::error_code;
using tcp = asio::ip::tcp;

// Completion token that returns the error code instead of throwing.
inline constexpr auto as_result = asio::as_tuple(asio::use_awaitable);

inline std::chrono::milliseconds to_chrono(duration span) {
  return std::chrono::milliseconds(span.ms);
}

// \returns whether a read found the end of the input before the end of the message.
bool is_cut_short(const error_code& error);

net_failure_kind to_failure_kind(const error_code& error);

}  // namespace hawthornnotch::net::internal

#endif  // HAWTHORNNOTCH_SRC_NET_BEAST_SUPPORT_H_
