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

// Number of the state, or the number of states for an unknown name.
std::size_t state_named(std::string_view name) {
  return static_cast<std::size_t>(std::find(state_names.begin(), state_names.end(), name) -
                                  state_names.begin());
}

std::optional<std::string> text_of(const json::object& object, std::string_view key) {
  const json::value* value = object.if_contains(key);
  const json::string* text = value == nullptr ? nullptr : value->if_string();
  return text == nullptr ? std::nullopt : std::optional<std::string>(std::string(*text));
}

std::int64_t number_of(const json::object& object, std::string_view key) {
  const json::value* value = object.if_contains(key);
  const std::int64_t* number = value == nullptr ? nullptr : value->if_int64();
  return number == nullptr ? 0 : *number;
}

std::optional<recorded> answer_of(const json::object& object) {
  const auto type = text_of(object, "type");
  const auto body = text_of(object, "body");
  const json::value* kept = object.if_contains("body_kept");
  if (!type || !body || kept == nullptr || !kept->is_bool()) {
    return std::nullopt;
  }
  return recorded{static_cast<unsigned>(number_of(object, "status")), *type, *body,
                  kept->get_bool()};
}

// Bytes that JSON strings can't hold are kept by writing each byte as one code point below 256.
std::string bytes_to_utf8(std::string_view bytes) {
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

std::string utf8_to_bytes(std::string_view text) {
  std::string bytes;
  for (std::size_t at = 0; at < text.size(); ++at) {
    const auto value = static_cast<unsigned char>(text[at]);
    if (value < 0x80U || at + 1 == text.size()) {
      bytes.push_back(text[at]);
    } else {
      ++at;
      const auto low = static_cast<unsigned char>(text[at]) & 0x3FU;
      bytes.push_back(static_cast<char>(((value & 0x03U) << 6U) | low));
    }
  }
  return bytes;
}

}  // namespace

std::string to_text(const claim_record& record) {
  json::object into;
  into["state"] = state_names.at(static_cast<std::size_t>(record.state));
  into["nonce"] = record.nonce;
  into["fingerprint"] = record.fingerprint;
  into["request"] = bytes_to_utf8(record.request_id);
  into["claimed_at"] = record.claimed_at.ms;
  if (record.state == record_state::done) {
    into["status"] = static_cast<std::int64_t>(record.answer.status);
    into["type"] = bytes_to_utf8(record.answer.content_type);
    into["body"] = bytes_to_utf8(record.answer.body);
    into["body_kept"] = record.answer.body_kept;
  }
  return json::serialize(into);
}

std::optional<claim_record> parse_record(std::string_view text) {
  boost::system::error_code failure;
  const json::value value = json::parse(json::string_view(text), failure);
  if (failure || !value.is_object()) {
    return std::nullopt;
  }
  const json::object& object = value.get_object();
  const std::size_t state = state_named(text_of(object, "state").value_or(""));
  const auto nonce = text_of(object, "nonce");
  const auto fingerprint = text_of(object, "fingerprint");
  if (state == state_names.size() || !nonce || !fingerprint) {
    return std::nullopt;
  }
  claim_record into{static_cast<record_state>(state),
                    *nonce,
                    *fingerprint,
                    utf8_to_bytes(text_of(object, "request").value_or("")),
                    {number_of(object, "claimed_at")},
                    {}};
  if (into.state == record_state::done) {
    auto answer = answer_of(object);
    if (!answer) {
      return std::nullopt;
    }
    into.answer = std::move(*answer);
    into.answer.content_type = utf8_to_bytes(into.answer.content_type);
    into.answer.body = utf8_to_bytes(into.answer.body);
  }
  return into;
}

std::string platform_key(std::string_view workspace, std::string_view key) {
  constexpr std::string_view digits = "0123456789abcdef";
  std::string into(key_prefix);
  into.append(workspace);
  into.push_back('/');
  for (const char byte : key) {
    const auto value = static_cast<unsigned char>(byte);
    const bool plain = (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z') ||
                       (byte >= '0' && byte <= '9') || byte == '-' || byte == '_';
    if (plain) {
      into.push_back(byte);
    } else {
      into.push_back('%');
      into.push_back(digits.at(value >> 4U));
      into.push_back(digits.at(value & 0xFU));
    }
  }
  return into;
}

}  // namespace hawthornnotch::claim
