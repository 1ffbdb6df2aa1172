// Strict reading of JSON objects in messages between entry VMs.
#ifndef HAWTHORNNOTCH_SRC_RELAY_OBJECT_READER_H_
#define HAWTHORNNOTCH_SRC_RELAY_OBJECT_READER_H_

#include <boost/json.hpp>
#include <charconv>
#include <cstdint>
#include <limits>
#include <string>

#include "hawthornnotch/config/json_reader.h"

namespace hawthornnotch::relay::internal {

inline constexpr integer_range any_count{0, std::numeric_limits<std::int64_t>::max()};
inline constexpr integer_range any_number{std::numeric_limits<std::int64_t>::min(),
                                          std::numeric_limits<std::int64_t>::max()};

// Reads one JSON object and sets `good` to false on any error, unknown keys included.
class object_reader {
 public:
  object_reader(const boost::json::object& object, bool& good) : reader_(object, ""), good_(good) {}
  ~object_reader() { good_ = good_ && !reader_.finish(); }
  object_reader(const object_reader&) = delete;
  object_reader& operator=(const object_reader&) = delete;
  json_reader* operator->() { return &reader_; }

 private:
  json_reader reader_;
  bool& good_;
};

// 64-bit hashes are encoded as strings, since JSON numbers may lose precision.
inline bool read_number(const std::string& text, std::uint64_t& into) {
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), into);
  return error == std::errc() && end == text.data() + text.size();
}

}  // namespace hawthornnotch::relay::internal

#endif  // HAWTHORNNOTCH_SRC_RELAY_OBJECT_READER_H_
