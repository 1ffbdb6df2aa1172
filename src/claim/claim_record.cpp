#include "hawthornnotch/claim/claim_record.h"

#include <algorithm>
#include <array>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/system/error_code.hpp>

namespace hawthornnotch::claim {

namespace {

namespace json = boost::json;

constexpr std::array<std::string_view, 4> state_names = {"claimed", "done", "unknown", "released"};
constexpr std::string_view key_prefix = "hn/claim/";

// \returns the index of the state, or `state_names.size()` for an unknown name.
std::size_t parse_state(std::string_view name) {
  return static_cast<std::size_t>(std::find(state_names.begin(), state_names.end(), name) -
                                  state_names.begin());
}

std::optional<std::string> text_member(const json::object& object, std::string_view key) {
  const json::value* value = object.if_contains(key);
  const json::string* text = value == nullptr ? nullptr : value->if_string();
  return text == nullptr ? std::nullopt : std::optional<std::string>(std::string(*text));
}

std::int64_t integer_member(const json::object& object, std::string_view key) {
  const json::value* value = object.if_contains(key);
  const std::int64_t* number = value == nullptr ? nullptr : value->if_int64();
  return number == nullptr ? 0 : *number;
}

std::optional<recorded_answer> parse_answer(const json::object& object) {
  const auto type = text_member(object, "type");
  const auto body = text_member(object, "body");
  const json::value* kept = object.if_contains("body_kept");
  if (!type || !body || kept == nullptr || !kept->is_bool()) {
    return std::nullopt;
  }
  return recorded_answer{static_cast<unsigned>(integer_member(object, "status")), *type, *body,
                         kept->get_bool()};
}

// JSON strings can't hold arbitrary bytes, so each byte is stored as the code point of the same
// value (Latin-1).
std::string latin1_to_utf8(std::string_view bytes) {
  std::string text;
  for (const char byte : bytes) {
    const auto value = static_cast<unsigned char>(byte);
    if (value < 0x80U) {
      text.push_back(byte);
    } else {
      text.push_back(static_cast<char>(0xC0U | (value >> 6U)));
      text.push_back(static_cast<char>(0x80U | (value & 0x3FU)));
    }
  }
  return text;
}

std::string utf8_to_latin1(std::string_view text) {
  std::string bytes;
  for (std::size_t index = 0; index < text.size(); ++index) {
    const auto value = static_cast<unsigned char>(text[index]);
    if (value < 0x80U || index + 1 == text.size()) {
      bytes.push_back(text[index]);
    } else {
      ++index;
      const auto low = static_cast<unsigned char>(text[index]) & 0x3FU;
      bytes.push_back(static_cast<char>(((value & 0x03U) << 6U) | low));
    }
  }
  return bytes;
}

}  // namespace

std::string to_text(const claim_record& record) {
  json::object object;
  object["state"] = state_names.at(static_cast<std::size_t>(record.state));
  object["nonce"] = record.nonce;
  object["fingerprint"] = record.fingerprint;
  object["request"] = latin1_to_utf8(record.request_id);
  object["claimed_at"] = record.claimed_at.ms;
  if (record.state == record_state::done) {
    object["status"] = static_cast<std::int64_t>(record.answer.status);
    object["type"] = latin1_to_utf8(record.answer.content_type);
    object["body"] = latin1_to_utf8(record.answer.body);
    object["body_kept"] = record.answer.body_kept;
  }
  return json::serialize(object);
}

std::optional<claim_record> parse_record(std::string_view text) {
  boost::system::error_code error;
  const json::value value = json::parse(json::string_view(text), error);
  if (error || !value.is_object()) {
    return std::nullopt;
  }
  const json::object& object = value.get_object();
  const std::size_t state = parse_state(text_member(object, "state").value_or(""));
  const auto nonce = text_member(object, "nonce");
  const auto fingerprint = text_member(object, "fingerprint");
  if (state == state_names.size() || !nonce || !fingerprint) {
    return std::nullopt;
  }
  claim_record record{static_cast<record_state>(state),
                      *nonce,
                      *fingerprint,
                      utf8_to_latin1(text_member(object, "request").value_or("")),
                      {integer_member(object, "claimed_at")},
                      {}};
  if (record.state == record_state::done) {
    auto answer = parse_answer(object);
    if (!answer) {
      return std::nullopt;
    }
    record.answer = std::move(*answer);
    record.answer.content_type = utf8_to_latin1(record.answer.content_type);
    record.answer.body = utf8_to_latin1(record.answer.body);
  }
  return record;
}

std::string platform_key(std::string_view workspace, std::string_view key) {
  constexpr std::string_view digits = "0123456789abcdef";
  std::string encoded(key_prefix);
  encoded.append(workspace);
  encoded.push_back('/');
  for (const char byte : key) {
    const auto value = static_cast<unsigned char>(byte);
    const bool unescaped = (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z') ||
                           (byte >= '0' && byte <= '9') || byte == '-' || byte == '_';
    if (unescaped) {
      encoded.push_back(byte);
    } else {
      encoded.push_back('%');
      encoded.push_back(digits.at(value >> 4U));
      encoded.push_back(digits.at(value & 0xFU));
    }
  }
  return encoded;
}

}  // namespace hawthornnotch::claim
