/// \file
/// Lenient reader of JSON from other processes: unknown keys are ignored, so that different
/// releases interoperate.
#ifndef HAWTHORNNOTCH_MEMBER_JSON_FIELDS_H_
#define HAWTHORNNOTCH_MEMBER_JSON_FIELDS_H_

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornnotch {

/// Reads the members of a JSON object.  `ok` is false after a missing member without a fallback or
/// one of the wrong type; such a read returns the fallback or an empty value.
///
/// Example:
///     json_fields fields(value);
///     vm.id = fields.text("id");
///     if (!fields.ok()) { return std::nullopt; }
/// Ownership: refers to the value.  Thread safety: none.
class json_fields {
 public:
  explicit json_fields(const boost::json::value& value);

  std::string text(std::string_view key, std::optional<std::string> fallback = {});
  /// Reads a non-negative integer.
  std::uint64_t number(std::string_view key, std::optional<std::uint64_t> fallback = {});
  bool boolean(std::string_view key, std::optional<bool> fallback = {});
  std::vector<std::string> texts(std::string_view key);
  /// \returns the array; an empty one if the key is absent.
  const boost::json::array& list(std::string_view key);
  /// \returns the value of any type, or null if the key is absent.
  const boost::json::value* find(std::string_view key) const;
  void fail() { ok_ = false; }
  [[nodiscard]] bool ok() const { return ok_; }

 private:
  const boost::json::object* object_ = nullptr;
  bool ok_ = true;
};

/// \returns the parsed value, or nothing if the text is malformed or nested too deeply.
std::optional<boost::json::value> parse_json(std::string_view text);

}  // namespace hawthornnotch

#endif  // HAWTHORNNOTCH_MEMBER_JSON_FIELDS_H_
