#include "exchange.h"

#include <algorithm>
#include <array>
#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <memory>

namespace hawthornnotch::load {

namespace {

namespace json = boost::json;
using boost::asio::awaitable;

constexpr unsigned status_ok = 200;
constexpr std::int64_t ms_per_second = 1000;

// Text of a fixed length that all requests of a class share.
std::string shared_prompt(const request_kind& kind) {
  std::string text;
  while (text.size() < kind.shared_prompt_bytes) {
    text += "Clause of the " + kind.class_name + " template. ";
  }
  text.resize(kind.shared_prompt_bytes);
  return text;
}

json::array messages_of(const request_kind& kind, const load_settings& settings,
                        const planned_request& planned) {
  const std::string content = shared_prompt(kind) + "Request " + std::to_string(planned.number) +
                              " of class " + kind.class_name + ", seed " +
                              std::to_string(settings.seed) + ".";
  return {json::object{{"role", "user"}, {"content", content}}};
}

net::header_list headers_of(const run_context& context, const request_kind& kind,
                            const sample& into) {
  net::header_list headers;
  headers.emplace_back("Content-Type", "application/json");
  headers.emplace_back("x-hawthornnotch-workspace", kind.workspace);
  headers.emplace_back("x-hawthornnotch-class", kind.class_name);
  headers.emplace_back("x-request-id", into.request_id);
  if (!context.settings.bearer_key.empty()) {
    headers.emplace_back("Authorization", "Bearer " + context.settings.bearer_key);
  }
  if (!into.idempotency_key.empty()) {
    headers.emplace_back("Idempotency-Key", into.idempotency_key);
  }
  return headers;
}

std::string text_at(const json::object& from, const char* key) {
  const json::value* found = from.if_contains(key);
  return found != nullptr && found->is_string() ? std::string(found->get_string()) : std::string();
}

// True for the refusals that the router's policy decides.
bool is_shed(std::string_view code) {
  static constexpr std::array<std::string_view, 5> policy_codes = {
      "workspace_rate", "workspace_queue", "queue_full", "queue_limit_passed", "retry_budget"};
  return std::find(policy_codes.begin(), policy_codes.end(), code) != policy_codes.end();
}

// One request while it is under way.
class conversation {
 public:
  conversation(const run_context& context, planned_request planned, sample& into)
      : context_(context),
        planned_(planned),
        kind_(context.settings.mix.kinds.at(planned.kind)),
        into_(into),
        scheduled_(context.started + planned.at),
        messages_(messages_of(kind_, context.settings, planned)),
        checker_(token_mark(json::serialize(messages_)), planned.tokens) {}

  awaitable<void> run() {
    name_request();
    net::exchange_limits limits;
    limits.head_timeout = context_.settings.patience;
    limits.read_timeout = context_.settings.patience;
    const endpoint& router = context_.settings.routers.at(planned_.router);
    net::http_request request = make_request();
    auto opened = co_await context_.client.open(router, std::move(request), limits);
    if (!opened) {
      take_failure(opened.last_reason());
      co_return;
    }
    net::response_stream& answer = **opened;
    into_.http_status = answer.head().status;
    if (auto id = answer.head().header("x-request-id")) {
      into_.request_id = *id;
    }
    co_await follow(answer);
  }

 private:
  void name_request() {
    const std::string number = std::to_string(planned_.number);
    into_.end = sample_end::unknown;
    into_.request_id = context_.run_id + "-" + number + (planned_.is_repeat ? "-repeat" : "");
    if (!kind_.idempotent) {
      into_.idempotency_key = context_.run_id + "-" + number;
    }
  }

  net::http_request make_request() const {
    net::http_request request;
    request.headers = headers_of(context_, kind_, into_);
    if (kind_.call == call_kind::service) {
      request.method = kind_.method;
      request.target = kind_.target_path;
      if (kind_.method == "POST") {
        request.body = json::serialize(json::object{{"number", planned_.number}});
      }
      return request;
    }
    json::object body;
    body["model"] = context_.settings.model;
    body["messages"] = messages_;
    body["stream"] = kind_.call == call_kind::chat_stream;
    // The stand-in engines' own length; a router does not look at it.
    body["x_length"] = planned_.tokens;
    request.method = "POST";
    request.target = "/v1/chat/completions";
    request.body = json::serialize(body);
    return request;
  }

  awaitable<void> follow(net::response_stream& answer) {
    const bool streamed = into_.http_status == status_ok && kind_.call == call_kind::chat_stream;
    while (true) {
      auto piece = co_await answer.read();
      if (!piece) {
        take_failure(piece.last_reason());
        co_return;
      }
      if (piece->empty()) {
        break;
      }
      if (streamed) {
        take_tokens(checker_.feed(*piece));
      } else {
        body_ += *piece;
      }
    }
    into_.completion = since_scheduled();
    into_.ended_second = second_of_run();
    if (into_.http_status != status_ok) {
      take_error(body_);
    } else if (checker_.told_of_error()) {
      take_error(checker_.error());
    } else {
      take_answer();
    }
  }

  [[nodiscard]] duration since_scheduled() const { return context_.time.now() - scheduled_; }
  [[nodiscard]] std::uint32_t second_of_run() const {
    const duration of_run = context_.time.now() - context_.started;
    return static_cast<std::uint32_t>(of_run.ms / ms_per_second);
  }

  void take_tokens(std::uint32_t count) {
    if (count == 0) {
      return;
    }
    const duration now = since_scheduled();
    if (!into_.first_token) {
      into_.first_token = now;
    }
    last_token_ = now;
    into_.tokens += count;
    const std::uint32_t second = second_of_run();
    if (into_.tokens_by_second.empty() || into_.tokens_by_second.back().first != second) {
      into_.tokens_by_second.emplace_back(second, 0);
    }
    into_.tokens_by_second.back().second += count;
  }

  void take_answer() {
    if (kind_.call == call_kind::service) {
      boost::system::error_code broken;
      const json::value parsed = json::parse(body_, broken);
      if (broken || !parsed.is_object()) {
        into_.fault = answer_fault::malformed;
      }
    } else {
      if (kind_.call == call_kind::chat_whole) {
        checker_.feed_whole(body_);
        into_.tokens = checker_.tokens();
      }
      into_.fault = checker_.finish();
    }
    if (into_.fault) {
      into_.end = sample_end::wrong;
      return;
    }
    fill_gap();
    into_.end = judge(kind_, into_);
  }

  // Mean time between tokens, rounded up to whole milliseconds.
  void fill_gap() {
    if (!into_.first_token || into_.tokens < 2) {
      return;
    }
    const std::int64_t gaps = into_.tokens - 1;
    into_.between_tokens = duration{(last_token_ - *into_.first_token).ms + gaps - 1} / gaps;
  }

  void take_failure(const net::net_failure& failure) {
    into_.completion = since_scheduled();
    into_.error_code = net::to_string(failure.kind);
    into_.end = failure.request_may_have_been_sent ? sample_end::unknown : sample_end::not_run;
  }

  // {"error":{"type","code","message","outcome","retry_after_ms"}}
  void take_error(const std::string& text) {
    boost::system::error_code broken;
    const json::value parsed = json::parse(text, broken);
    const json::value* error =
        broken || !parsed.is_object() ? nullptr : parsed.get_object().if_contains("error");
    if (error == nullptr || !error->is_object()) {
      into_.error_code = "untyped_" + std::to_string(into_.http_status);
      into_.end = sample_end::unknown;
      return;
    }
    const json::object& object = error->get_object();
    into_.error_code = text_at(object, "code");
    if (text_at(object, "outcome") != "not_run") {
      into_.end = sample_end::unknown;
    } else {
      into_.end = is_shed(into_.error_code) ? sample_end::shed : sample_end::not_run;
    }
  }

  const run_context& context_;
  planned_request planned_;
  const request_kind& kind_;
  sample& into_;
  time_point scheduled_;
  json::array messages_;
  answer_checker checker_;
  std::string body_;
  duration last_token_;
};

}  // namespace

awaitable<void> exchange(const run_context& context, planned_request planned, sample& into) {
  conversation talk(context, planned, into);
  co_await talk.run();
}

}  // namespace hawthornnotch::load
