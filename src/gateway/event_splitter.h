// Splits a stream of server-sent events into complete events and tracks their ids.
#ifndef HAWTHORNNOTCH_SRC_GATEWAY_EVENT_SPLITTER_H_
#define HAWTHORNNOTCH_SRC_GATEWAY_EVENT_SPLITTER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hawthornnotch::gateway::internal {

// Complete events to forward to the caller.
struct event_batch {
  std::string text;
  std::uint32_t count = 0;
  // True if an id was skipped, or if too many bytes arrived without an event that is new to the
  // caller.  The stream is unusable from then on.
  bool broken = false;
};

// Splits the events of one response to a caller, across all servers that produce parts of it.
// Events that the caller already has are dropped, so that a stream can resume at another server.
//
// Example: `event_batch batch = splitter.take(bytes);`
// Ownership: a value.  Thread safety: none.
class event_splitter {
 public:
  // \param after id of the last event that the caller has, if it has any.
  explicit event_splitter(std::optional<std::uint64_t> after) : last_id_(after) {}
  // \returns the events completed by `bytes`; `broken` if the stream is unusable.
  event_batch take(std::string_view bytes);
  // Call when the stream resumes at another server.  Discards an incomplete event.
  void restart();
  // \returns whether the bytes so far end with a complete event.
  [[nodiscard]] bool between_events() const { return buffer_.empty(); }
  // \returns the bytes of the incomplete event.
  [[nodiscard]] std::size_t held_bytes() const { return buffer_.size(); }
  [[nodiscard]] std::optional<std::uint64_t> last_id() const { return last_id_; }

 private:
  void add_event(std::string_view event, event_batch& batch);

  std::string buffer_;
  // Bytes of `buffer_` already scanned for the end of an event.
  std::size_t scanned_ = 0;
  // Bytes received since the last event that was forwarded.
  std::size_t bytes_since_event_ = 0;
  std::optional<std::uint64_t> last_id_;
};

}  // namespace hawthornnotch::gateway::internal

#endif  // HAWTHORNNOTCH_SRC_GATEWAY_EVENT_SPLITTER_H_
