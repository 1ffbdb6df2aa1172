// Reads the heads of requests and responses, and refuses what two parsers could read differently.
#ifndef HAWTHORNNOTCH_SRC_NET_MESSAGE_HEAD_H_
#define HAWTHORNNOTCH_SRC_NET_MESSAGE_HEAD_H_

#include <boost/asio/awaitable.hpp>
#include <cstddef>
#include <string_view>

#include "beast_support.h"
#include "hawthornnotch/base/result.h"

namespace hawthornnotch::net::internal {

// Size of the reads that look for the end of a head.
inline constexpr std::size_t head_read_bytes = 4096;

// Reads until the buffer begins with a complete head that no parser has seen yet.
// \param max_bytes size over which a head that has not ended is refused.
// \returns the head's bytes, valid until the buffer is used again; `bad_field` if a line of the
// head continues on the next one; `header_limit`; the error of a read.
asio::awaitable<result<std::string_view, error_code>> read_raw_head(beast::tcp_stream& stream,
                                                                    beast::flat_buffer& buffer,
                                                                    std::size_t max_bytes);

// \returns whether two parsers of this head could disagree on where its body ends, or whether the
// body is coded in another way than in chunks, which nobody here undoes.
bool has_ambiguous_body(const http::fields& head);

// Reads a head and passes it to the parser; what follows the head stays in the buffer.
template <bool is_request>
asio::awaitable<error_code> read_head(beast::tcp_stream& stream, beast::flat_buffer& buffer,
                                      http::basic_parser<is_request>& parser,
                                      std::size_t max_bytes) {
  const auto head = co_await read_raw_head(stream, buffer, max_bytes);
  if (!head) {
    co_return head.last_reason();
  }
  error_code error;
  const std::size_t used = parser.put(asio::buffer(head->data(), head->size()), error);
  buffer.consume(used);
  co_return error;
}

}  // namespace hawthornnotch::net::internal

#endif  // HAWTHORNNOTCH_SRC_NET_MESSAGE_HEAD_H_
