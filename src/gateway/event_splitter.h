// Splits a stream of server-sent events into whole events and follows their ids.
#ifndef HAWTHORNNOTCH_SRC_GATEWAY_EVENT_SPLITTER_H_
#define HAWTHORNNOTCH_SRC_GATEWAY_EVENT_SPLITTER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hawthornnotch::gateway::internal {

// Whole events that may go to the caller.
struct event_batch {
  std::string text;
  std::uint32_t count = 0;
  // True if an id is missing or comes out of order, or if bytes go on and on without an event that
  // the caller lacks: the stream can't be trusted any more.
  bool broken = false;
};

// One answer to a caller, over all servers that it comes from.  An event that the caller has is
// dropped, so that a stream can go on at another server.
//
// Example: `event_batch batch = splitter.take(bytes);`
// Ownership: a value.  Thread safety: none.
class event_splitter {
 public:
  // \param after the last event that the caller has, if it has any.
  explicit event_splitter(std::optional<std::uint64_t> after) : last_id_(after) {}
  event_batch take(std::string_view bytes);
  // The stream goes on at another server; half an event is forgotten.
  void restart();
  // \returns whether the bytes so far end with a whole event.
  [[nodiscard]] bool between_events() const { return buffer_.empty(); }
  [[nodiscard]] std::optional<std::uint64_t> last_id() const { return last_id_; }

 private:
  void take_event(std::string_view event, event_batch& batch);

  std::string buffer_;
  // Bytes of `buffer_` that are known not to end an event.
  std::size_t scanned_ = 0;
  // Bytes since the last event that was handed on.
  std::size_t bytes_since_event_ = 0;
  std::optional<std::uint64_t> last_id_;
};

}  // namespace hawthornnotch::gateway::internal

#endif  // HAWTHORNNOTCH_SRC_GATEWAY_EVENT_SPLITTER_H_
