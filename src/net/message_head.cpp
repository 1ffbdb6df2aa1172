#include "message_head.h"

namespace hawthornnotch::net::internal {

namespace {

constexpr std::string_view head_terminator = "\r\n\r\n";

// \returns whether a header line continues on the next line. HTTP/1.1 no longer allows such
// folding, and another parser of the message may see other headers.
bool has_folded_line(std::string_view head) {
  return head.find("\n ") != std::string_view::npos || head.find("\n\t") != std::string_view::npos;
}

std::string_view text_of(const beast::flat_buffer& buffer) {
  return {static_cast<const char*>(buffer.data().data()), buffer.size()};
}

// \param searched number of bytes of the text that were already searched.
std::size_t find_end_of_head(std::string_view text, std::size_t searched) {
  const std::size_t from =
      searched < head_terminator.size() ? 0 : searched - head_terminator.size() + 1;
  const std::size_t found = text.find(head_terminator, from);
  return found == std::string_view::npos ? found : found + head_terminator.size();
}

error_code error_of_end(const beast::flat_buffer& buffer) {
  return buffer.size() == 0 ? http::error::end_of_stream : http::error::partial_message;
}

}  // namespace

bool has_ambiguous_body(const http::fields& head) {
  const auto coding = head.find(http::field::transfer_encoding);
  if (coding == head.end()) {
    return false;
  }
  const bool only_chunked =
      head.count(http::field::transfer_encoding) == 1 && beast::iequals(coding->value(), "chunked");
  return !only_chunked || head.count(http::field::content_length) > 0;
}

asio::awaitable<result<std::string_view, error_code>> read_raw_head(beast::tcp_stream& stream,
                                                                    beast::flat_buffer& buffer,
                                                                    std::size_t max_bytes) {
  std::size_t end = find_end_of_head(text_of(buffer), 0);
  while (end == std::string_view::npos) {
    const std::size_t searched = buffer.size();
    if (searched > max_bytes) {
      co_return failed{error_code(http::error::header_limit)};
    }
    const auto [error, count] =
        co_await stream.async_read_some(buffer.prepare(head_read_bytes), as_result);
    if (error) {
      co_return failed{error == asio::error::eof ? error_of_end(buffer) : error};
    }
    buffer.commit(count);
    end = find_end_of_head(text_of(buffer), searched);
  }
  const std::string_view head = text_of(buffer).substr(0, end);
  if (has_folded_line(head)) {
    co_return failed{error_code(http::error::bad_field)};
  }
  co_return head;
}

}  // namespace hawthornnotch::net::internal
