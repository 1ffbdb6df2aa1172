#include "hawthornnotch/config/json_reader.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>
#include <fstream>
#include <sstream>

namespace hawthornnotch {

namespace {

constexpr std::size_t max_shown_value_bytes = 80;

std::string format_value(const boost::json::value& value) {
  std::string text = boost::json::serialize(value);
  if (text.size() > max_shown_value_bytes) {
    text.resize(max_shown_value_bytes);
    text += "...";
  }
  return text;
}

std::string format_value(double value) {
  std::ostringstream out;
  out << value;
  return out.str();
}

std::string join(const std::vector<std::string>& words) {
  std::string text;
  for (const std::string& word : words) {
    text += text.empty() ? word : ", " + word;
  }
  return text;
}

}  // namespace

std::string_view to_string(settings_fault fault) {
  switch (fault) {
    case settings_fault::file_missing:
      return "file cannot be read";
    case settings_fault::malformed_json:
      return "malformed JSON";
    case settings_fault::unknown_key:
      return "unknown key";
    case settings_fault::missing_key:
      return "missing key";
    case settings_fault::wrong_type:
      return "wrong type";
    case settings_fault::out_of_range:
      return "out of range";
  }
  return "";
}

std::string describe(const settings_failure& failure) {
  std::string line(to_string(failure.fault));
  line += ": " + failure.key;
  if (!failure.value.empty()) {
    line += " = " + failure.value;
  }
  if (!failure.allowed.empty()) {
    line += " (allowed: " + failure.allowed + ")";
  }
  return line;
}

json_reader::json_reader(const boost::json::object& object, std::string path)
    : object_(object), path_(std::move(path)) {}

std::string json_reader::path_of(std::string_view key) const {
  return path_.empty() ? std::string(key) : path_ + "." + std::string(key);
}

bool json_reader::has(std::string_view key) const { return object_.contains(key); }

void json_reader::fail(settings_failure failure) {
  if (!failure_) {
    failure_ = std::move(failure);
  }
}

void json_reader::wrong_type(std::string_view key, const boost::json::value& value,
                             std::string allowed) {
  fail({settings_fault::wrong_type, path_of(key), format_value(value), std::move(allowed)});
}

const boost::json::value* json_reader::find(std::string_view key, bool required) {
  requested_keys_.emplace(key);
  const boost::json::value* value = object_.if_contains(key);
  if (value == nullptr && required) {
    fail({settings_fault::missing_key, path_of(key), "", ""});
  }
  return value;
}

std::int64_t json_reader::integer(std::string_view key, integer_range range,
                                  std::optional<std::int64_t> fallback) {
  const std::int64_t default_value = fallback.value_or(range.low);
  const boost::json::value* value = find(key, !fallback);
  if (value == nullptr) {
    return default_value;
  }
  const std::string allowed =
      "a whole number from " + std::to_string(range.low) + " to " + std::to_string(range.high);
  boost::json::error_code error;
  const auto number = value->is_number() && !value->is_double()
                          ? value->to_number<std::int64_t>(error)
                          : std::int64_t{0};
  if (value->is_double() || !value->is_number()) {
    wrong_type(key, *value, allowed);
    return default_value;
  }
  if (error || number < range.low || number > range.high) {
    fail({settings_fault::out_of_range, path_of(key), format_value(*value), allowed});
    return default_value;
  }
  return number;
}

double json_reader::number(std::string_view key, double low, double high,
                           std::optional<double> fallback) {
  const double default_value = fallback.value_or(low);
  const boost::json::value* value = find(key, !fallback);
  if (value == nullptr) {
    return default_value;
  }
  const std::string allowed = "a number from " + format_value(low) + " to " + format_value(high);
  if (!value->is_number()) {
    wrong_type(key, *value, allowed);
    return default_value;
  }
  const auto found = value->to_number<double>();
  if (found < low || found > high) {
    fail({settings_fault::out_of_range, path_of(key), format_value(*value), allowed});
    return default_value;
  }
  return found;
}

bool json_reader::boolean(std::string_view key, std::optional<bool> fallback) {
  const boost::json::value* value = find(key, !fallback);
  if (value == nullptr) {
    return fallback.value_or(false);
  }
  if (!value->is_bool()) {
    wrong_type(key, *value, "true or false");
    return fallback.value_or(false);
  }
  return value->as_bool();
}

std::string json_reader::text(std::string_view key, std::optional<std::string> fallback) {
  const boost::json::value* value = find(key, !fallback);
  if (value == nullptr) {
    return fallback.value_or("");
  }
  if (!value->is_string()) {
    wrong_type(key, *value, "a string");
    return fallback.value_or("");
  }
  return std::string(value->as_string());
}

std::size_t json_reader::choice(std::string_view key, const std::vector<std::string>& allowed,
                                std::optional<std::size_t> fallback) {
  const boost::json::value* value = find(key, !fallback);
  if (value == nullptr) {
    return fallback.value_or(0);
  }
  if (!value->is_string()) {
    wrong_type(key, *value, join(allowed));
    return fallback.value_or(0);
  }
  for (std::size_t index = 0; index < allowed.size(); ++index) {
    if (value->as_string() == allowed[index]) {
      return index;
    }
  }
  fail({settings_fault::out_of_range, path_of(key), format_value(*value), join(allowed)});
  return fallback.value_or(0);
}

duration json_reader::milliseconds(std::string_view key, integer_range range,
                                   std::optional<duration> fallback) {
  std::optional<std::int64_t> fallback_ms;
  if (fallback) {
    fallback_ms = fallback->ms;
  }
  return {integer(key, range, fallback_ms)};
}

std::vector<std::string> json_reader::texts(std::string_view key, bool required) {
  std::vector<std::string> found;
  const boost::json::value* value = find(key, required);
  if (value == nullptr) {
    return found;
  }
  if (!value->is_array()) {
    wrong_type(key, *value, "a list of strings");
    return found;
  }
  for (const boost::json::value& element : value->as_array()) {
    if (!element.is_string()) {
      wrong_type(key, element, "a list of strings");
      return found;
    }
    found.emplace_back(element.as_string());
  }
  return found;
}

endpoint json_reader::address(std::string_view key, std::optional<endpoint> fallback) {
  const boost::json::value* value = find(key, !fallback);
  if (value == nullptr) {
    return fallback.value_or(endpoint{});
  }
  std::optional<endpoint> parsed;
  if (value->is_string()) {
    parsed = parse_endpoint(value->as_string());
  }
  if (!parsed) {
    wrong_type(key, *value, "ADDRESS:PORT");
    return {};
  }
  return *parsed;
}

const boost::json::object* json_reader::object(std::string_view key, bool required) {
  const boost::json::value* value = find(key, required);
  if (value == nullptr) {
    return nullptr;
  }
  if (!value->is_object()) {
    wrong_type(key, *value, "an object");
    return nullptr;
  }
  return &value->as_object();
}

std::vector<const boost::json::object*> json_reader::objects(std::string_view key, bool required) {
  std::vector<const boost::json::object*> found;
  const boost::json::value* value = find(key, required);
  if (value == nullptr) {
    return found;
  }
  if (!value->is_array()) {
    wrong_type(key, *value, "a list of objects");
    return found;
  }
  for (const boost::json::value& element : value->as_array()) {
    if (!element.is_object()) {
      wrong_type(key, element, "a list of objects");
      return {};
    }
    found.push_back(&element.as_object());
  }
  return found;
}

std::optional<settings_failure> json_reader::finish() const {
  if (failure_) {
    return failure_;
  }
  for (const auto& member : object_) {
    if (requested_keys_.count(std::string_view(member.key())) == 0) {
      const std::vector<std::string> known(requested_keys_.begin(), requested_keys_.end());
      return settings_failure{settings_fault::unknown_key, path_of(member.key()),
                              format_value(member.value()), join(known)};
    }
  }
  return std::nullopt;
}

result<boost::json::object, settings_failure> parse_object(std::string_view text) {
  boost::json::error_code error;
  boost::json::value value = boost::json::parse(text, error);
  if (error) {
    return failed{settings_failure{settings_fault::malformed_json, "", error.message(), ""}};
  }
  if (!value.is_object()) {
    return failed{
        settings_failure{settings_fault::wrong_type, "", format_value(value), "an object"}};
  }
  return std::move(value.as_object());
}

result<boost::json::object, settings_failure> read_object_file(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    return failed{settings_failure{settings_fault::file_missing, path, "", "a readable file"}};
  }
  std::ostringstream text;
  text << file.rdbuf();
  return parse_object(text.str());
}

std::optional<endpoint> parse_endpoint(std::string_view text) {
  constexpr unsigned max_port = 65535;
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos || colon == 0) {
    return std::nullopt;
  }
  const std::string_view digits = text.substr(colon + 1);
  unsigned port = 0;
  const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), port);
  const bool complete = parsed.ec == std::errc{} && parsed.ptr == digits.data() + digits.size();
  if (!complete || port > max_port) {
    return std::nullopt;
  }
  return endpoint{std::string(text.substr(0, colon)), static_cast<std::uint16_t>(port)};
}

std::string to_text(const endpoint& address) {
  return address.address + ":" + std::to_string(address.port);
}

}  // namespace hawthornnotch
