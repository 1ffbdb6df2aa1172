#include "hawthornnotch/load/answer_checker.h"

#include <array>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>

#include "hawthornnotch/base/hash.h"

namespace hawthornnotch::load {

namespace {

namespace json = boost::json;

constexpr std::size_t longest_line = 1024 * 1024;
constexpr std::string_view event_opening = "data:";
constexpr std::string_view stream_end = "[DONE]";

// The text of the first choice, of a chunk or of a whole answer; none if there is no choice.
std::optional<std::string> text_of_choice(const json::object& body, const char* member) {
  const json::value* choices = body.if_contains("choices");
  if (choices == nullptr || !choices->is_array() || choices->get_array().empty()) {
    return std::nullopt;
  }
  const auto* choice = choices->get_array().front().if_object();
  const json::value* holder = choice == nullptr ? nullptr : choice->if_contains(member);
  if (holder == nullptr || !holder->is_object()) {
    return std::nullopt;
  }
  const json::value* content = holder->get_object().if_contains("content");
  if (content == nullptr || !content->is_string()) {
    return std::string();
  }
  return std::string(content->get_string());
}

std::string_view without_blanks(std::string_view line) {
  while (!line.empty() && (line.back() == '\r' || line.back() == ' ')) {
    line.remove_suffix(1);
  }
  while (!line.empty() && line.front() == ' ') {
    line.remove_prefix(1);
  }
  return line;
}

}  // namespace

std::string_view to_string(answer_fault fault) {
  static constexpr std::array<std::string_view, 8> names = {
      "foreign_token", "doubled_token", "missing_token", "too_short",
      "too_long",      "no_done",       "after_done",    "malformed"};
  return names.at(static_cast<std::size_t>(fault));
}

std::string token_mark(std::string_view messages_json) {
  constexpr std::string_view digits = "0123456789abcdef";
  constexpr int hash_digits = 4;
  std::uint64_t hash = stable_hash(messages_json);
  std::string mark = " t";
  for (int index = 0; index < hash_digits; ++index) {
    mark += digits[hash % digits.size()];
    hash /= digits.size();
  }
  return mark + ".";
}

answer_checker::answer_checker(std::string mark, std::uint32_t expected_tokens)
    : mark_(std::move(mark)), expected_(expected_tokens) {}

std::uint32_t answer_checker::feed(std::string_view bytes) {
  const std::uint32_t before = next_;
  for (const char byte : bytes) {
    if (byte != '\n') {
      line_ += byte;
      if (line_.size() > longest_line) {
        fail(answer_fault::malformed);
        line_.clear();
      }
      continue;
    }
    take_event(without_blanks(line_));
    line_.clear();
  }
  return next_ - before;
}

void answer_checker::feed_whole(std::string_view body) {
  whole_ = true;
  boost::system::error_code broken;
  const json::value parsed = json::parse(body, broken);
  const auto text =
      broken || !parsed.is_object() ? std::nullopt : text_of_choice(parsed.get_object(), "message");
  if (!text) {
    fail(answer_fault::malformed);
    return;
  }
  take_text(*text);
}

std::optional<answer_fault> answer_checker::finish() const {
  if (fault_) {
    return fault_;
  }
  if (!whole_ && !done_) {
    return answer_fault::no_done;
  }
  if (next_ < expected_) {
    return answer_fault::too_short;
  }
  return next_ > expected_ ? std::optional(answer_fault::too_long) : std::nullopt;
}

void answer_checker::take_event(std::string_view line) {
  if (!line.starts_with(event_opening)) {
    return;
  }
  const std::string_view data = without_blanks(line.substr(event_opening.size()));
  if (done_) {
    fail(answer_fault::after_done);
    return;
  }
  if (data == stream_end) {
    done_ = true;
    return;
  }
  boost::system::error_code broken;
  const json::value parsed = json::parse(data, broken);
  if (broken || !parsed.is_object()) {
    fail(answer_fault::malformed);
    return;
  }
  if (parsed.get_object().contains("error")) {
    error_ = data;
    return;
  }
  const auto text = text_of_choice(parsed.get_object(), "delta");
  if (text) {
    take_text(*text);
  }
}

void answer_checker::take_text(std::string_view text) {
  std::size_t at = 0;
  while (at < text.size()) {
    std::size_t end = text.find(' ', at + 1);
    end = end == std::string_view::npos ? text.size() : end;
    take_token(text.substr(at, end - at));
    at = end;
  }
}

void answer_checker::take_token(std::string_view token) {
  if (!token.starts_with(mark_)) {
    fail(answer_fault::foreign_token);
    return;
  }
  const std::string_view digits = token.substr(mark_.size());
  std::uint32_t index = 0;
  const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), index);
  if (parsed.ec != std::errc() || parsed.ptr != digits.data() + digits.size()) {
    fail(answer_fault::foreign_token);
  } else if (index < next_) {
    fail(answer_fault::doubled_token);
  } else if (index > next_) {
    fail(answer_fault::missing_token);
  } else {
    ++next_;
  }
}

void answer_checker::fail(answer_fault fault) {
  if (!fault_) {
    fault_ = fault;
  }
}

}  // namespace hawthornnotch::load
