#include "event_splitter.h"

#include <algorithm>
#include <charconv>

namespace hawthornnotch::gateway::internal {

namespace {

constexpr std::string_view id_field = "id:";
constexpr std::string_view event_end = "\n\n";
/// A stream that exceeds this without an event that is new to the caller is treated as broken.
constexpr std::size_t max_bytes_without_event = 1024 * 1024;

// \returns the number in an event's `id` field, if there is one.
std::optional<std::uint64_t> id_of(std::string_view event) {
  while (!event.empty()) {
    const std::size_t end = std::min(event.find('\n'), event.size());
    std::string_view line = event.substr(0, end);
    if (line.substr(0, id_field.size()) == id_field) {
      line.remove_prefix(id_field.size());
      const std::size_t digit = std::min(line.find_first_not_of(' '), line.size());
      std::uint64_t id = 0;
      const auto [stop, error] =
          std::from_chars(line.data() + digit, line.data() + line.size(), id);
      return error == std::errc() ? std::optional(id) : std::nullopt;
    }
    event.remove_prefix(std::min(end + 1, event.size()));
  }
  return std::nullopt;
}

}  // namespace

void event_splitter::restart() {
  buffer_.clear();
  scanned_ = 0;
  bytes_since_event_ = 0;
}

event_batch event_splitter::take(std::string_view bytes) {
  event_batch batch;
  buffer_ += bytes;
  std::size_t begin = 0;
  while (!batch.broken) {
    const std::size_t end = buffer_.find(event_end, std::max(begin, scanned_));
    if (end == std::string::npos) {
      break;
    }
    const std::size_t next = end + event_end.size();
    add_event(std::string_view(buffer_).substr(begin, next - begin), batch);
    begin = next;
  }
  buffer_.erase(0, begin);
  // The last byte may be the first of an event's terminator.
  scanned_ = buffer_.empty() ? 0 : buffer_.size() - 1;
  bytes_since_event_ = batch.count > 0 ? 0 : bytes_since_event_ + bytes.size();
  batch.broken = batch.broken || bytes_since_event_ > max_bytes_without_event;
  return batch;
}

void event_splitter::add_event(std::string_view event, event_batch& batch) {
  const auto id = id_of(event);
  if (id) {
    if (last_id_ && *id <= *last_id_) {
      return;
    }
    if (last_id_ && *id != *last_id_ + 1) {
      batch.broken = true;
      return;
    }
    last_id_ = id;
  }
  batch.text += event;
  ++batch.count;
}

}  // namespace hawthornnotch::gateway::internal
