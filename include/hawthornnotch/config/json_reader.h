/// \file
/// Checked reading of JSON objects: every settings file and every parameter goes through here.
#ifndef HAWTHORNNOTCH_CONFIG_JSON_READER_H_
#define HAWTHORNNOTCH_CONFIG_JSON_READER_H_

#include <boost/json/object.hpp>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/base/result.h"
#include "hawthornnotch/member/fleet.h"

namespace hawthornnotch {

enum class settings_fault : std::uint8_t {
  file_missing,
  malformed_json,
  unknown_key,
  missing_key,
  wrong_type,
  out_of_range,
};

/// Why a settings file or a set of parameters is refused.
struct settings_failure {
  settings_fault fault = settings_fault::malformed_json;
  /// Dotted path of the key, e.g. `limits.connections`.
  std::string key;
  std::string value;
  /// What would be accepted.
  std::string allowed;
};

std::string_view to_string(settings_fault fault);
/// \returns one line for operators.
std::string describe(const settings_failure& failure);

/// Exit code of every program whose settings or command line are refused.
inline constexpr int exit_bad_settings = 2;

/// Whole numbers from `low` to `high`, both included.
struct integer_range {
  std::int64_t low = 0;
  std::int64_t high = 0;
};

/// Reads one JSON object key by key.  The first failure is kept and later reads give defaults, so
/// that callers read all keys in a row and ask once, at the end.
///
/// Example:
///     json_reader reader(object, "limits");
///     limits.connections = reader.integer("connections", {1, 100000}, 4096);
///     if (auto failure = reader.finish()) { return failed{*failure}; }
/// Ownership: refers to the object.  Thread safety: none.
class json_reader {
 public:
  /// \param path dotted path of the object, empty at the root.
  json_reader(const boost::json::object& object, std::string path);

  /// A missing key gives `fallback`; without one it is a failure.
  std::int64_t integer(std::string_view key, integer_range range,
                       std::optional<std::int64_t> fallback = {});
  double number(std::string_view key, double low, double high, std::optional<double> fallback = {});
  bool boolean(std::string_view key, std::optional<bool> fallback = {});
  std::string text(std::string_view key, std::optional<std::string> fallback = {});
  /// One of `allowed`; \returns its index.
  std::size_t choice(std::string_view key, const std::vector<std::string>& allowed,
                     std::optional<std::size_t> fallback = {});
  /// Milliseconds.
  duration milliseconds(std::string_view key, integer_range range,
                        std::optional<duration> fallback = {});
  std::vector<std::string> texts(std::string_view key, bool required = false);
  /// `address:port`.
  endpoint address(std::string_view key, std::optional<endpoint> fallback = {});
  /// A nested object, or null where the key is absent and not required.
  const boost::json::object* object(std::string_view key, bool required = false);
  /// Objects of a list; elements of another type are a failure.
  std::vector<const boost::json::object*> objects(std::string_view key, bool required = false);
  [[nodiscard]] bool has(std::string_view key) const;
  /// Dotted path of `key` within the whole document.
  [[nodiscard]] std::string path_of(std::string_view key) const;
  /// Records a failure found by the caller or by a nested reader.
  void fail(settings_failure failure);
  /// \returns the first failure, else one for the first key that was never asked for.
  [[nodiscard]] std::optional<settings_failure> finish() const;

 private:
  const boost::json::value* find(std::string_view key, bool required);
  void wrong_type(std::string_view key, const boost::json::value& value, std::string allowed);

  const boost::json::object& object_;
  std::string path_;
  std::set<std::string, std::less<>> asked_;
  std::optional<settings_failure> failure_;
};

/// Parses text to an object.
result<boost::json::object, settings_failure> parse_object(std::string_view text);
/// Reads and parses a file.
result<boost::json::object, settings_failure> read_object_file(const std::string& path);
/// Parses `address:port`.
std::optional<endpoint> parse_endpoint(std::string_view text);

}  // namespace hawthornnotch

#endif  // HAWTHORNNOTCH_CONFIG_JSON_READER_H_
