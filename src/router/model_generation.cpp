#include "model_run.h"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <tuple>

namespace hawthornnotch::router::internal {

namespace asio = boost::asio;

namespace {

constexpr unsigned status_ok = 200;
constexpr unsigned status_too_many = 429;
constexpr unsigned status_unavailable = 503;
constexpr unsigned first_server_error = 500;
constexpr std::string_view json_type = "application/json";
constexpr std::string_view event_stream_type = "text/event-stream";

std::string_view path_of(model_endpoint path) {
  return path == model_endpoint::chat ? "/v1/chat/completions" : "/v1/completions";
}

bool is_event_stream(const net::http_response& head) {
  const std::string_view type = head.header("Content-Type").value_or("");
  return type.substr(0, event_stream_type.size()) == event_stream_type;
}

boost::json::object assistant_message(std::string_view text) {
  boost::json::object message;
  message["role"] = "assistant";
  message["content"] = text;
  return message;
}

// A conversation that already ends in a partial answer goes on in that answer.
bool extend_last_message(boost::json::array& messages, std::string_view text) {
  boost::json::object* last = messages.back().if_object();
  if (last == nullptr || !last->contains("role") || last->at("role") != "assistant") {
    return false;
  }
  boost::json::value* content = last->if_contains("content");
  if (content == nullptr || !content->is_string()) {
    return false;
  }
  content->as_string().append(text);
  return true;
}

// The text of an answer made by `write_answer`.
std::string text_of_answer(const std::string& body, model_endpoint path) {
  boost::json::error_code error;
  const boost::json::value answer = boost::json::parse(body, error);
  if (error) {
    return {};
  }
  const char* pointer =
      path == model_endpoint::chat ? "/choices/0/message/content" : "/choices/0/text";
  const boost::json::value* text = answer.find_pointer(pointer, error);
  return text != nullptr && text->is_string() ? std::string(text->as_string()) : std::string();
}

}  // namespace

model_run::model_run(const classified_request& request, const model_call& call,
                     const backend_limits& limits, std::int64_t created)
    : request_(request),
      call_(call),
      limits_(limits),
      identity_{request.id, request.profile.serves, created, call.path} {}

void model_run::append_partial_answer(boost::json::object& body) const {
  if (call_.path == model_endpoint::completion) {
    body["prompt"].as_string().append(text_);
    return;
  }
  boost::json::array& messages = body["messages"].as_array();
  if (!extend_last_message(messages, text_)) {
    messages.emplace_back(assistant_message(text_));
  }
  body["continue_final_message"] = true;
  body["add_generation_prompt"] = false;
}

std::string model_run::body_for(const policy::assigned& to) const {
  boost::json::object body = call_.body;
  body["priority"] = to.engine_priority;
  body.erase("max_completion_tokens");
  body["max_tokens"] = call_.max_tokens - std::min(tokens_, call_.max_tokens);
  if (call_.resumable) {
    body["stream"] = true;
  }
  if (!text_.empty()) {
    append_partial_answer(body);
  }
  return boost::json::serialize(body);
}

asio::awaitable<attempt_result> model_run::attempt(attempt_context context, caller_sink& sink) {
  if (tokens_ > 0 && tokens_ >= call_.max_tokens) {
    finish_reason_ = "length";
    co_return co_await complete(sink);
  }
  net::http_request sent;
  sent.method = "POST";
  sent.target = std::string(path_of(call_.path));
  sent.headers = backend_headers(request_);
  sent.headers.emplace_back("Content-Type", std::string(json_type));
  sent.body = body_for(context.to);
  const bool idempotent = request_.profile.traffic_class.idempotent;
  auto opened = co_await context.http.open(context.to.address, std::move(sent),
                                           exchange_limits_of(context, idempotent));
  if (!opened) {
    co_return failure_of(opened.last_reason());
  }
  co_return co_await receive(**opened, context, sink);
}

asio::awaitable<attempt_result> model_run::receive(net::response_stream& stream,
                                                   const attempt_context& context,
                                                   caller_sink& sink) {
  const net::http_response& head = stream.head();
  if (!answers_request(head, request_)) {
    stream.cancel();
    co_return attempt_failed{};
  }
  if (head.status == status_too_many || head.status == status_unavailable) {
    co_return attempt_failed{policy::attempt_end::server_busy, true};
  }
  if (head.status >= first_server_error) {
    co_return attempt_failed{};
  }
  if (head.status == status_ok && is_event_stream(head)) {
    co_return co_await receive_events(stream, context, sink);
  }
  const bool expects_events = call_.resumable || call_.stream;
  const bool has_begun = sink.has_begun() || tokens_ > 0;
  if (has_begun || (head.status == status_ok && expects_events)) {
    co_return attempt_failed{};
  }
  co_return co_await pass_whole(stream, context, sink);
}

asio::awaitable<attempt_result> model_run::pass_whole(net::response_stream& stream,
                                                      const attempt_context& context,
                                                      caller_sink& sink) {
  attempt_completed done;
  done.status = stream.head().status;
  done.content_type = std::string(stream.head().header("Content-Type").value_or(json_type));
  while (true) {
    auto piece = co_await stream.read();
    if (!piece) {
      co_return failure_of(piece.last_reason());
    }
    if (piece->empty()) {
      break;
    }
    done.body += *piece;
  }
  context.progress.on_token(context.to.attempt);
  co_await sink.send_whole(done.status, done.content_type, done.body);
  co_return done;
}

asio::awaitable<attempt_result> model_run::receive_events(net::response_stream& stream,
                                                          const attempt_context& context,
                                                          caller_sink& sink) {
  event_splitter splitter(limits_.event_bytes);
  while (true) {
    auto piece = co_await stream.read();
    if (!piece) {
      co_return failure_of(piece.last_reason());
    }
    // An end without [DONE] is a break, however properly the connection closed.
    if (piece->empty()) {
      co_return attempt_failed{};
    }
    splitter.add(*piece);
    while (auto data = splitter.next()) {
      const auto event = read_event(*data, call_.path);
      if (!event) {
        co_return attempt_failed{};
      }
      if (std::holds_alternative<end_event>(*event)) {
        // Reads the end of the body, so that the connection can be kept.
        std::ignore = co_await stream.read();
        co_return co_await complete(sink);
      }
      const bool in_bounds = co_await take(*event, *data, context, sink);
      if (!in_bounds) {
        co_return attempt_failed{};
      }
    }
    if (splitter.overflowed()) {
      co_return attempt_failed{};
    }
  }
}

asio::awaitable<bool> model_run::take(const stream_event& event, std::string_view data,
                                      const attempt_context& context, caller_sink& sink) {
  if (passes_through()) {
    co_return co_await take_unread(data, context, sink);
  }
  if (const auto* text = std::get_if<text_event>(&event)) {
    co_return co_await take_text(*text, context, sink);
  }
  if (const auto* other = std::get_if<other_event>(&event)) {
    if (!other->finish_reason.empty()) {
      finish_reason_ = other->finish_reason;
    }
  }
  co_return true;
}

asio::awaitable<bool> model_run::take_unread(std::string_view data, const attempt_context& context,
                                             caller_sink& sink) {
  if (text_.size() + data.size() > limits_.answer_bytes) {
    co_return false;
  }
  ++tokens_;
  context.progress.on_token(context.to.attempt);
  const std::string whole = write_data_event(data);
  text_ += whole;
  co_await sink.write_stream(whole);
  co_return true;
}

asio::awaitable<bool> model_run::take_text(const text_event& event, const attempt_context& context,
                                           caller_sink& sink) {
  const bool first = tokens_ == 0;
  const bool exceeds_tokens = tokens_ >= call_.max_tokens;
  const bool exceeds_bytes = text_.size() + event.text.size() > limits_.answer_bytes;
  if (exceeds_tokens || exceeds_bytes) {
    co_return false;
  }
  ++tokens_;
  text_ += event.text;
  if (!event.finish_reason.empty()) {
    finish_reason_ = event.finish_reason;
  }
  context.progress.on_token(context.to.attempt);
  if (call_.stream) {
    const std::string whole = write_event(identity_, {event.text, ""}, first);
    co_await sink.write_stream(whole);
  }
  co_return true;
}

asio::awaitable<attempt_result> model_run::complete(caller_sink& sink) {
  if (finish_reason_.empty()) {
    finish_reason_ = "stop";
  }
  attempt_completed done;
  if (passes_through()) {
    done.content_type = std::string(event_stream_type);
    done.body = text_;
    co_await sink.finish_stream();
    co_return done;
  }
  done.content_type = std::string(json_type);
  done.body = write_answer(identity_, text_, finish_reason_, tokens_);
  if (!call_.stream) {
    co_await sink.send_whole(status_ok, done.content_type, done.body);
    co_return done;
  }
  const std::string last = write_event(identity_, {"", finish_reason_}, tokens_ == 0);
  co_await sink.write_stream(last);
  co_await sink.finish_stream();
  co_return done;
}

asio::awaitable<void> model_run::replay(const claim::recorded_answer& answer, caller_sink& sink) {
  if (!call_.stream || answer.status != status_ok) {
    co_await sink.send_whole(answer.status, answer.content_type, answer.body);
    co_return;
  }
  std::string events = answer.body;
  if (answer.content_type != event_stream_type) {
    const text_event whole{text_of_answer(answer.body, call_.path), "stop"};
    events = write_event(identity_, whole, true);
  }
  co_await sink.write_stream(events);
  co_await sink.finish_stream();
}

}  // namespace hawthornnotch::router::internal
