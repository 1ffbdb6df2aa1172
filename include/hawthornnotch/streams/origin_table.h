/// \file
/// The origins of recent streams that one entry VM knows.
#ifndef HAWTHORNNOTCH_STREAMS_ORIGIN_TABLE_H_
#define HAWTHORNNOTCH_STREAMS_ORIGIN_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/streams/stream_origin.h"

namespace hawthornnotch::streams {

struct origin_table_settings {
  /// The oldest origins of a workspace are dropped above the first number; none is added above the
  /// second.
  std::size_t max_per_workspace = 8'000;
  std::size_t max_total = 40'000;
};

/// Whose stream an origin is about.
enum class origin_source : std::uint8_t {
  /// It began on this VM.
  own,
  /// Another VM told of it.
  peer,
};

/// Remembers origins for `max_stream_age`.  The first origin told of a stream stays.
///
/// Example:
///     table.record({{"zagreb", "forecast", "a1"}, "v1.1", {}}, origin_source::own, now);
///     auto origin = table.find({"zagreb", "forecast", "a1"}, now);
/// Ownership: a value.  Thread safety: none.
class origin_table {
 public:
  explicit origin_table(origin_table_settings settings = {}) : settings_(settings) {}

  void record(const stream_origin& origin, origin_source source, time_point now);
  [[nodiscard]] std::optional<stream_origin> find(const stream_key& key, time_point now) const;
  /// \returns whether each origin that was recorded and is not too old can be found.
  [[nodiscard]] bool is_complete(time_point now) const {
    return !dropped_at_ || now - *dropped_at_ > max_stream_age;
  }
  /// Records that a stream was delivered whole: nobody will resume it.
  void finish(const stream_key& key);
  /// \returns the origins of the unfinished streams of a service that began on this VM.
  [[nodiscard]] std::vector<stream_origin> own_streams(std::string_view service,
                                                       time_point now) const;
  [[nodiscard]] std::size_t size() const { return origins_.size(); }

 private:
  struct known_origin {
    std::string software_version;
    time_point began_at;
    origin_source source = origin_source::own;
    bool finished = false;
  };
  void drop_oldest(std::deque<stream_key>& keys);
  void drop_expired(time_point now);

  origin_table_settings settings_;
  /// When an origin was last dropped for want of room.
  std::optional<time_point> dropped_at_;
  std::map<stream_key, known_origin> origins_;
  /// By workspace, in the order in which they were recorded.
  std::map<std::string, std::deque<stream_key>, std::less<>> order_;
};

}  // namespace hawthornnotch::streams

#endif  // HAWTHORNNOTCH_STREAMS_ORIGIN_TABLE_H_
