/// \file
/// Server-sent events of an engine: splitting, reading and writing.
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

/// Splits bytes into the `data` of server-sent events, whatever the pieces they arrive in.
///
/// Example:
///     splitter.add(piece);
///     while (auto data = splitter.next()) { ... }
/// Ownership: owns the bytes not yet taken.  Thread safety: none.
class event_splitter {
 public:
  explicit event_splitter(std::size_t longest_event) : longest_event_(longest_event) {}
  void add(std::string_view bytes) { buffer_.append(bytes); }
  /// \returns the data of the next whole event, or nothing until more bytes are added.
  std::optional<std::string> next();
  /// \returns whether the event that is being received is longer than allowed.
  [[nodiscard]] bool overflowed() const { return buffer_.size() - taken_ > longest_event_; }

 private:
  std::size_t longest_event_;
  std::string buffer_;
  std::size_t taken_ = 0;
};

/// A piece of generated text.
struct text_event {
  std::string text;
  /// Set on the last piece, e.g. `stop` or `length`.
  std::string finish_reason;
};
/// An event that is passed through as it is.
struct other_event {
  std::string finish_reason;
};
/// The closing `[DONE]`.
struct end_event {};
using stream_event = std::variant<text_event, other_event, end_event>;

/// Reads one event's data.
result<stream_event, stream_fault> read_event(std::string_view data, model_endpoint path);

/// Identity that every event and answer of one request carries, whichever server made it.
struct answer_identity {
  std::string id;
  std::string model;
  /// Seconds since 1970.
  std::int64_t created = 0;
  model_endpoint path = model_endpoint::chat;
};

/// \returns one whole event, ready to be sent, that carries a piece of text.
std::string write_event(const answer_identity& identity, const text_event& event, bool first);
/// \returns the answer to a caller that did not ask for a stream.
std::string write_answer(const answer_identity& identity, std::string_view text,
                         std::string_view finish_reason, std::uint32_t tokens);
/// \returns one whole event, ready to be sent, around its data.
std::string write_data_event(std::string_view data);

inline constexpr std::string_view done_event = "data: [DONE]\n\n";

}  // namespace hawthornnotch::router

#endif  // HAWTHORNNOTCH_ROUTER_EVENT_STREAM_H_
