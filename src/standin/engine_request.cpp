#include "hawthornnotch/standin/engine_request.h"

#include <algorithm>
#include <array>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include "hawthornnotch/base/hash.h"
#include "hawthornnotch/standin/program.h"

namespace hawthornnotch::standin {
namespace {

constexpr std::uint64_t length_seed = 17;
constexpr std::size_t prefix_bytes = 256;
constexpr std::size_t hash_digits = 4;
constexpr std::size_t bytes_per_token = 4;
constexpr std::uint32_t unlimited = 1'000'000;

// What the model is shown, parted into the prompt and the begun answer.
struct prompt {
  std::string text;
  std::string begun;
};

std::string short_hash(std::string_view text) {
  constexpr std::string_view digits = "0123456789abcdef";
  std::uint64_t hash = stable_hash(text);
  std::string hex;
  for (std::size_t index = 0; index < hash_digits; ++index) {
    hex += digits[hash % digits.size()];
    hash /= digits.size();
  }
  return hex;
}

std::string mark_of(const std::string& hash) { return " t" + hash + "."; }

std::uint32_t count_tokens(std::string_view text, const std::string& mark) {
  std::uint32_t count = 0;
  for (auto at = text.find(mark); at != std::string_view::npos; at = text.find(mark, at + 1)) {
    ++count;
  }
  return count;
}

std::string content_of(const boost::json::value& message) {
  return message.is_object() ? text_of(message.as_object(), "content") : std::string();
}

bool continues_final_message(const boost::json::object& body, const boost::json::array& messages) {
  const boost::json::value* wish = body.if_contains("continue_final_message");
  if (wish == nullptr || !wish->is_bool() || !wish->as_bool() || !messages.back().is_object()) {
    return false;
  }
  return text_of(messages.back().as_object(), "role") == "assistant";
}

std::optional<prompt> chat_prompt(const boost::json::object& body) {
  const boost::json::value* found = body.if_contains("messages");
  if (found == nullptr || !found->is_array() || found->as_array().empty()) {
    return {};
  }
  boost::json::array messages = found->as_array();
  prompt parted;
  if (continues_final_message(body, messages)) {
    parted.begun = content_of(messages.back());
    messages.pop_back();
  }
  parted.text = boost::json::serialize(messages);
  return parted;
}

// The begun answer starts at the first token whose mark names the text before it.
std::optional<prompt> completion_prompt(const boost::json::object& body) {
  const boost::json::value* found = body.if_contains("prompt");
  if (found == nullptr || !found->is_string()) {
    return {};
  }
  const std::string text(found->as_string());
  constexpr std::string_view opening = " t";
  for (auto at = text.find(opening); at != std::string::npos; at = text.find(opening, at + 1)) {
    const std::string before = text.substr(0, at);
    if (text.compare(at, opening.size() + hash_digits + 1, mark_of(short_hash(before))) == 0) {
      return prompt{before, text.substr(at)};
    }
  }
  return prompt{text, ""};
}

std::uint32_t drawn_length(const boost::json::object& body, std::string_view text,
                           std::uint32_t longest) {
  const std::int64_t set = integer_of(body, "x_length");
  if (set > 0) {
    return static_cast<std::uint32_t>(std::min<std::int64_t>(set, unlimited));
  }
  return 1 + static_cast<std::uint32_t>(stable_hash(text, length_seed) % longest);
}

std::uint32_t token_limit(const boost::json::object& body) {
  std::int64_t limit = integer_of(body, "max_tokens");
  if (limit <= 0) {
    limit = integer_of(body, "max_completion_tokens");
  }
  return limit <= 0 ? unlimited
                    : static_cast<std::uint32_t>(std::min<std::int64_t>(limit, unlimited));
}

bool flag_of(const boost::json::object& body, std::string_view key) {
  const boost::json::value* found = body.if_contains(key);
  return found != nullptr && found->is_bool() && found->as_bool();
}

}  // namespace

result<generation, request_fault> parse_generation(std::string_view body, bool chat,
                                                   std::uint32_t longest) {
  const boost::json::object object = object_of(body);
  if (object.empty()) {
    return failed{request_fault::not_json};
  }
  const auto parted = chat ? chat_prompt(object) : completion_prompt(object);
  if (!parted) {
    return failed{request_fault::no_prompt};
  }
  generation request;
  request.chat = chat;
  request.stream = flag_of(object, "stream");
  if (const boost::json::value* options = object.if_contains("stream_options")) {
    request.include_usage = options->is_object() && flag_of(options->as_object(), "include_usage");
  }
  request.model = text_of(object, "model");
  request.priority = integer_of(object, "priority");
  request.prefix = stable_hash(parted->text.substr(0, prefix_bytes));
  request.prompt_hash = short_hash(parted->text);
  request.prompt_tokens =
      static_cast<std::uint32_t>((parted->text.size() + parted->begun.size()) / bytes_per_token);
  request.begin = count_tokens(parted->begun, mark_of(request.prompt_hash));
  const std::uint32_t length = drawn_length(object, parted->text, longest);
  const std::uint32_t allowed = request.begin + token_limit(object);
  request.end = std::max(request.begin, std::min(length, allowed));
  request.cut_by_limit = allowed < length;
  return request;
}

std::string token_text(const generation& request, std::uint32_t index) {
  return mark_of(request.prompt_hash) + std::to_string(index);
}

}  // namespace hawthornnotch::standin
