/// \file
/// Counts of what a stand-in did, for comparison with what callers were told.
#ifndef HAWTHORNNOTCH_STANDIN_RUN_COUNTER_H_
#define HAWTHORNNOTCH_STANDIN_RUN_COUNTER_H_

#include <boost/json/object.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace hawthornnotch::standin {

/// Counters by name; the oldest names are forgotten beyond a limit.
///
/// Ownership: a value.  Thread safety: none.
class run_counter {
 public:
  /// Adds to the counter of `name`; an empty name is not counted.  \returns its new value.
  std::uint64_t add(std::string_view name, std::uint64_t amount = 1);
  [[nodiscard]] boost::json::object to_json() const;

 private:
  static constexpr std::size_t limit = 100'000;
  std::map<std::string, std::uint64_t, std::less<>> counts_;
  std::deque<std::string> order_;
};

}  // namespace hawthornnotch::standin

#endif  // HAWTHORNNOTCH_STANDIN_RUN_COUNTER_H_
