/// \file
/// Validating reader of JSON objects, used for settings files and parameters.
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

/// Why a settings file or a set of parameters was rejected.
struct settings_failure {
  settings_fault fault = settings_fault::malformed_json;
  /// Dotted path of the key, e.g. `limits.connections`.
  std::string key;
  std::string value;
  /// Description of the accepted values.
  std::string allowed;
};

std::string_view to_string(settings_fault fault);
/// \returns a one-line message for operators.
std::string describe(const settings_failure& failure);

/// Exit code of a program whose settings or command line are invalid.
inline constexpr int exit_bad_settings = 2;

/// Integers from `low` to `high`, inclusive.
struct integer_range {
  std::int64_t low = 0;
  std::int64_t high = 0;
};

/// Reads one JSON object key by key.  The first failure is kept and a key that failed reads as a
/// default, so that callers read all keys and check for a failure once, at the end.  A key that was
/// never read is a failure as well.
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

  /// Returns `fallback` for a missing key; without a fallback a missing key is a failure.
  std::int64_t integer(std::string_view key, integer_range range,
                       std::optional<std::int64_t> fallback = {});
  double number(std::string_view key, double low, double high, std::optional<double> fallback = {});
  bool boolean(std::string_view key, std::optional<bool> fallback = {});
  std::string text(std::string_view key, std::optional<std::string> fallback = {});
  /// Reads one of the strings in `allowed`; \returns its index.
  std::size_t choice(std::string_view key, const std::vector<std::string>& allowed,
                     std::optional<std::size_t> fallback = {});
  /// Reads an integer number of milliseconds.
  duration milliseconds(std::string_view key, integer_range range,
                        std::optional<duration> fallback = {});
  std::vector<std::string> texts(std::string_view key, bool required = false);
  /// Reads an `address:port` string.
  endpoint address(std::string_view key, std::optional<endpoint> fallback = {});
  /// Reads a nested object; \returns null if the key is absent or its value is not an object.
  const boost::json::object* object(std::string_view key, bool required = false);
  /// Reads a list of objects; an element of another type is a failure.
  std::vector<const boost::json::object*> objects(std::string_view key, bool required = false);
  [[nodiscard]] bool has(std::string_view key) const;
  /// Dotted path of `key` within the whole document.
  [[nodiscard]] std::string path_of(std::string_view key) const;
  /// Records a failure found by the caller or by a nested reader.
  void fail(settings_failure failure);
  /// \returns the first failure, else a failure for the first key that was never read, else
  /// nothing.
  [[nodiscard]] std::optional<settings_failure> finish() const;

 private:
  const boost::json::value* find(std::string_view key, bool required);
  void wrong_type(std::string_view key, const boost::json::value& value, std::string allowed);

  const boost::json::object& object_;
  std::string path_;
  std::set<std::string, std::less<>> requested_keys_;
  std::optional<settings_failure> failure_;
};

/// Parses text as a JSON object.
result<boost::json::object, settings_failure> parse_object(std::string_view text);
/// Reads and parses a file.
result<boost::json::object, settings_failure> read_object_file(const std::string& path);
/// Parses `address:port`.  \returns nothing if the address is empty or the port is not a number up
/// to 65535.
std::optional<endpoint> parse_endpoint(std::string_view text);
/// \returns ADDRESS:PORT, as `parse_endpoint` reads it.
std::string to_text(const endpoint& address);

}  // namespace hawthornnotch

#endif  // HAWTHORNNOTCH_CONFIG_JSON_READER_H_
