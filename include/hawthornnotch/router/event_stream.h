/// \file
/// Splitting, parsing and writing the server-sent events of an inference engine.
#ifndef HAWTHORNNOTCH_ROUTER_EVENT_STREAM_H_
#define HAWTHORNNOTCH_ROUTER_EVENT_STREAM_H_

#include <boost/json/object.hpp>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "hawthornnotch/base/result.h"
#include "hawthornnotch/router/classify.h"

namespace hawthornnotch::router {

enum class stream_fault : std::uint8_t { event_too_long, malformed_event };

/// Splits a byte stream into the `data` of server-sent events, independent of how the bytes are
/// chunked.
///
/// Failures: never fails itself; the caller checks `overflowed` after draining `next`.
///
/// Example:
///     splitter.add(piece);
///     while (auto data = splitter.next()) { ... }
/// Ownership: owns the bytes not yet taken.  Thread safety: none.
class event_splitter {
 public:
  /// \param max_event_bytes maximum length of one event in bytes.
  explicit event_splitter(std::size_t max_event_bytes) : max_event_bytes_(max_event_bytes) {}
  void add(std::string_view bytes) { buffer_.append(bytes); }
  /// \returns the data of the next complete event, or nothing until more bytes are added.
  std::optional<std::string> next();
  /// \returns whether the incomplete event exceeds the maximum length.
  [[nodiscard]] bool overflowed() const { return buffer_.size() - consumed_ > max_event_bytes_; }

 private:
  std::size_t max_event_bytes_;
  std::string buffer_;
  std::size_t consumed_ = 0;
};

/// A piece of generated text.
struct text_event {
  std::string text;
  /// Set on the last piece, e.g. `stop` or `length`.
  std::string finish_reason;
};
/// An event without generated text.
struct non_text_event {
  /// As in `text_event`.
  std::string finish_reason;
};
/// The closing `[DONE]`.
struct end_event {};
using stream_event = std::variant<text_event, non_text_event, end_event>;

/// Parses the data of one event.  \returns the event, or `malformed_event` if it is not a JSON
/// object or reports an error.
result<stream_event, stream_fault> read_event(std::string_view data, model_endpoint path);

/// Fields that every event and response of one request carries, whichever server generated it.
struct response_identity {
  std::string id;
  std::string model;
  /// Seconds since 1970.
  std::int64_t created = 0;
  model_endpoint path = model_endpoint::chat;
};

/// \returns the wire format of an event with a piece of text.
/// \param first true for the first event of a chat response, which carries the role.
std::string write_event(const response_identity& identity, const text_event& event, bool first);
/// \returns the body of a response that is not streamed.
/// \param tokens number of generated tokens, for `usage`.
std::string write_response(const response_identity& identity, std::string_view text,
                           std::string_view finish_reason, std::uint32_t tokens);
/// \returns the wire format of an event with this data.
std::string write_data_event(std::string_view data);

/// The event that ends a complete stream.
inline constexpr std::string_view done_event = "data: [DONE]\n\n";

}  // namespace hawthornnotch::router

#endif  // HAWTHORNNOTCH_ROUTER_EVENT_STREAM_H_
