/// \file
/// Key-value pairs of log events and recorded decisions, and their text encodings.
#ifndef HAWTHORNNOTCH_OBSERVE_FIELD_H_
#define HAWTHORNNOTCH_OBSERVE_FIELD_H_

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>
#include <type_traits>
#include <variant>

namespace hawthornnotch::observe {

using field_value = std::variant<std::string_view, std::int64_t, double, bool>;

/// A key and its value.  Refers to the texts it is made from, which must outlive it.
///
/// Example: `log_event(level::info, "request_done", {{"request_id", id}, {"tokens", count}});`
struct field {
  template <class Value>
  field(std::string_view name, const Value& what) : key(name), value(convert(what)) {}

  std::string_view key;
  field_value value;

 private:
  template <class Value>
  static field_value convert(const Value& what) {
    if constexpr (std::same_as<Value, bool>) {
      return what;
    } else if constexpr (std::integral<Value>) {
      return static_cast<std::int64_t>(what);
    } else if constexpr (std::floating_point<Value>) {
      return static_cast<double>(what);
    } else {
      return std::string_view(what);
    }
  }
};

/// Appends `text` as a quoted JSON string.  Control characters are escaped; if the text is not
/// valid UTF-8, each non-ASCII byte is replaced by a question mark.
void append_json_text(std::string& out, std::string_view text);

/// Appends the value as JSON; infinities and NaN are written as null.
void append_json_value(std::string& out, const field_value& value);

/// Appends `text` for a key=value line: unquoted if it consists of letters, digits and `-_.:/@+`,
/// otherwise as a JSON string.
void append_plain_text(std::string& out, std::string_view text);

}  // namespace hawthornnotch::observe

#endif  // HAWTHORNNOTCH_OBSERVE_FIELD_H_
