#include "hawthornnotch/router/event_stream.h"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace hawthornnotch::router {

namespace {

constexpr std::string_view data_field = "data:";

// Offset of the end of an event and the length of the blank line after it.
struct event_end {
  std::size_t at = std::string::npos;
  std::size_t length = 0;
};

event_end find_end(const std::string& buffer, std::size_t from) {
  const std::size_t plain = buffer.find("\n\n", from);
  const std::size_t with_returns = buffer.find("\r\n\r\n", from);
  if (with_returns < plain) {
    return {with_returns, 4};
  }
  return {plain, 2};
}

void append_data_line(std::string_view line, std::string& data) {
  if (!line.empty() && line.back() == '\r') {
    line.remove_suffix(1);
  }
  if (line.substr(0, data_field.size()) != data_field) {
    return;
  }
  line.remove_prefix(data_field.size());
  if (!line.empty() && line.front() == ' ') {
    line.remove_prefix(1);
  }
  if (!data.empty()) {
    data += '\n';
  }
  data += line;
}

std::string data_of(std::string_view event) {
  std::string data;
  while (!event.empty()) {
    const std::size_t end = std::min(event.find('\n'), event.size());
    append_data_line(event.substr(0, end), data);
    event.remove_prefix(std::min(end + 1, event.size()));
  }
  return data;
}

const boost::json::object* first_choice(const boost::json::object& body) {
  const boost::json::value* choices = body.if_contains("choices");
  if (choices == nullptr || !choices->is_array() || choices->as_array().empty()) {
    return nullptr;
  }
  return choices->as_array().front().if_object();
}

std::string text_member(const boost::json::object& object, const char* key) {
  const boost::json::value* value = object.if_contains(key);
  return value != nullptr && value->is_string() ? std::string(value->as_string()) : std::string();
}

std::string text_of(const boost::json::object& choice, model_endpoint path) {
  if (path == model_endpoint::completion) {
    return text_member(choice, "text");
  }
  const boost::json::value* delta = choice.if_contains("delta");
  if (delta == nullptr || !delta->is_object()) {
    return {};
  }
  return text_member(delta->as_object(), "content");
}

boost::json::object envelope(const response_identity& identity, std::string_view object_kind) {
  boost::json::object body;
  body["id"] = identity.id;
  body["object"] = object_kind;
  body["created"] = identity.created;
  body["model"] = identity.model;
  return body;
}

boost::json::value finish_value(std::string_view reason) {
  if (reason.empty()) {
    return nullptr;
  }
  return boost::json::value(reason);
}

void set_choice(boost::json::object& body, boost::json::object choice) {
  boost::json::array choices;
  choices.emplace_back(std::move(choice));
  body["choices"] = std::move(choices);
}

}  // namespace

std::optional<std::string> event_splitter::next() {
  while (true) {
    const event_end end = find_end(buffer_, consumed_);
    if (end.at == std::string::npos) {
      buffer_.erase(0, consumed_);
      consumed_ = 0;
      return std::nullopt;
    }
    std::string data = data_of(std::string_view(buffer_).substr(consumed_, end.at - consumed_));
    consumed_ = end.at + end.length;
    if (!data.empty()) {
      return data;
    }
  }
}

result<stream_event, stream_fault> read_event(std::string_view data, model_endpoint path) {
  if (data == "[DONE]") {
    return stream_event(end_event{});
  }
  boost::json::error_code error;
  const boost::json::value value =
      boost::json::parse(boost::json::string_view(data.data(), data.size()), error);
  if (error || !value.is_object() || value.as_object().contains("error")) {
    return failed{stream_fault::malformed_event};
  }
  const boost::json::object* choice = first_choice(value.as_object());
  if (choice == nullptr) {
    return stream_event(non_text_event{});
  }
  text_event event{text_of(*choice, path), text_member(*choice, "finish_reason")};
  if (event.text.empty()) {
    return stream_event(non_text_event{std::move(event.finish_reason)});
  }
  return stream_event(std::move(event));
}

std::string write_event(const response_identity& identity, const text_event& event, bool first) {
  const bool is_chat = identity.path == model_endpoint::chat;
  boost::json::object body =
      envelope(identity, is_chat ? "chat.completion.chunk" : "text_completion");
  boost::json::object choice;
  choice["index"] = 0;
  if (is_chat) {
    boost::json::object delta;
    if (first) {
      delta["role"] = "assistant";
    }
    if (!event.text.empty()) {
      delta["content"] = event.text;
    }
    choice["delta"] = std::move(delta);
  } else {
    choice["text"] = event.text;
  }
  choice["finish_reason"] = finish_value(event.finish_reason);
  set_choice(body, std::move(choice));
  return "data: " + boost::json::serialize(body) + "\n\n";
}

std::string write_response(const response_identity& identity, std::string_view text,
                           std::string_view finish_reason, std::uint32_t tokens) {
  const bool is_chat = identity.path == model_endpoint::chat;
  boost::json::object body = envelope(identity, is_chat ? "chat.completion" : "text_completion");
  boost::json::object choice;
  choice["index"] = 0;
  if (is_chat) {
    boost::json::object message;
    message["role"] = "assistant";
    message["content"] = text;
    choice["message"] = std::move(message);
  } else {
    choice["text"] = text;
  }
  choice["finish_reason"] = finish_value(finish_reason);
  set_choice(body, std::move(choice));
  boost::json::object usage;
  usage["completion_tokens"] = tokens;
  body["usage"] = std::move(usage);
  return boost::json::serialize(body);
}

std::string write_data_event(std::string_view data) {
  return "data: " + std::string(data) + "\n\n";
}

}  // namespace hawthornnotch::router
