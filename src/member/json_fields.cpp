#include "hawthornnotch/member/json_fields.h"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <utility>

namespace hawthornnotch {

namespace {

const boost::json::array no_elements;

}  // namespace

json_fields::json_fields(const boost::json::value& value)
    : object_(value.if_object()), ok_(object_ != nullptr) {}

const boost::json::value* json_fields::find(std::string_view key) const {
  if (object_ == nullptr) {
    return nullptr;
  }
  return object_->if_contains(key);
}

std::string json_fields::text(std::string_view key, std::optional<std::string> fallback) {
  const auto* found = find(key);
  if (found != nullptr && found->is_string()) {
    return {found->get_string().data(), found->get_string().size()};
  }
  ok_ = ok_ && found == nullptr && fallback.has_value();
  return fallback.value_or(std::string());
}

std::uint64_t json_fields::number(std::string_view key, std::optional<std::uint64_t> fallback) {
  const auto* found = find(key);
  if (found != nullptr && found->is_int64() && found->get_int64() >= 0) {
    return static_cast<std::uint64_t>(found->get_int64());
  }
  if (found != nullptr && found->is_uint64()) {
    return found->get_uint64();
  }
  ok_ = ok_ && found == nullptr && fallback.has_value();
  return fallback.value_or(0);
}

bool json_fields::boolean(std::string_view key, std::optional<bool> fallback) {
  const auto* found = find(key);
  if (found != nullptr && found->is_bool()) {
    return found->get_bool();
  }
  ok_ = ok_ && found == nullptr && fallback.has_value();
  return fallback.value_or(false);
}

std::vector<std::string> json_fields::texts(std::string_view key) {
  std::vector<std::string> found;
  for (const auto& element : list(key)) {
    if (element.is_string()) {
      found.emplace_back(element.get_string().data(), element.get_string().size());
    } else {
      ok_ = false;
    }
  }
  return found;
}

const boost::json::array& json_fields::list(std::string_view key) {
  const auto* found = find(key);
  if (found != nullptr && found->is_array()) {
    return found->get_array();
  }
  ok_ = ok_ && found == nullptr;
  return no_elements;
}

std::optional<boost::json::value> parse_json(std::string_view text) {
  boost::json::error_code error;
  boost::json::value value = boost::json::parse(text, error);
  if (error) {
    return std::nullopt;
  }
  return value;
}

}  // namespace hawthornnotch
