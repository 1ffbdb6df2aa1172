#include "hawthornnotch/standin/engine.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <set>
#include <utility>

#include "hawthornnotch/standin/engine_batch.h"
#include "hawthornnotch/standin/engine_request.h"
#include "hawthornnotch/standin/program.h"
#include "hawthornnotch/standin/run_counter.h"

namespace hawthornnotch::standin {
namespace {

using boost::asio::awaitable;

net::http_response error_answer(unsigned status, std::string_view type, std::string_view message) {
  boost::json::object body;
  body["error"] = boost::json::object{{"type", type}, {"message", message}};
  return json_answer(status, boost::json::serialize(body));
}

boost::json::object usage_of(const generation& request, std::uint32_t produced) {
  return {{"prompt_tokens", request.prompt_tokens},
          {"completion_tokens", produced},
          {"total_tokens", request.prompt_tokens + produced}};
}

std::string_view finish_reason(const generation& request) {
  return request.cut_by_limit ? "length" : "stop";
}

std::string event(const boost::json::object& body) {
  return "data: " + boost::json::serialize(body) + "\n\n";
}

boost::json::object chunk_head(const generation& request, std::string_view id) {
  return {{"id", id},
          {"object", request.chat ? "chat.completion.chunk" : "text_completion"},
          {"model", request.model}};
}

boost::json::object chunk(const generation& request, std::string_view id, std::string_view text,
                          bool last) {
  boost::json::object choice{{"index", 0}};
  if (request.chat) {
    choice["delta"] = text.empty() ? boost::json::object{} : boost::json::object{{"content", text}};
  } else {
    choice["text"] = text;
  }
  choice["finish_reason"] =
      last ? boost::json::value(finish_reason(request)) : boost::json::value(nullptr);
  boost::json::object body = chunk_head(request, id);
  body["choices"] = boost::json::array{std::move(choice)};
  return body;
}

std::string closing_events(const generation& request, std::string_view id) {
  std::string events = event(chunk(request, id, "", true));
  if (request.include_usage) {
    boost::json::object body = chunk_head(request, id);
    body["choices"] = boost::json::array{};
    body["usage"] = usage_of(request, request.end - request.begin);
    events += event(body);
  }
  return events + "data: [DONE]\n\n";
}

std::string whole_answer(const generation& request, std::string_view id, const std::string& text) {
  boost::json::object choice{{"index", 0}, {"finish_reason", finish_reason(request)}};
  if (request.chat) {
    choice["message"] = boost::json::object{{"role", "assistant"}, {"content", text}};
  } else {
    choice["text"] = text;
  }
  boost::json::object body{{"id", id},
                           {"object", request.chat ? "chat.completion" : "text_completion"},
                           {"model", request.model}};
  body["choices"] = boost::json::array{std::move(choice)};
  body["usage"] = usage_of(request, request.end - request.begin);
  return boost::json::serialize(body);
}

class paced_engine final : public engine {
 public:
  paced_engine(engine_options options, std::shared_ptr<fault_switches> faults)
      : options_(std::move(options)),
        faults_(std::move(faults)),
        batch_(options_.slots, options_.report_lag),
        cache_(options_.cache_entries),
        models_(options_.models.begin(), options_.models.end()) {}

  awaitable<void> handle(net::http_request request, net::response_writer& writer) override {
    if (request.method == "POST" && request.target == "/v1/chat/completions") {
      co_await generate(request, writer, true);
      co_return;
    }
    if (request.method == "POST" && request.target == "/v1/completions") {
      co_await generate(request, writer, false);
      co_return;
    }
    if (request.method == "POST" && request.target == "/orders") {
      co_await obey(request.body, writer);
      co_return;
    }
    net::http_response answer = answer_at_once(request);
    co_await reply(writer, std::move(answer));
  }

 private:
  // One request while it is worked on.
  struct job {
    generation request;
    std::string id;
    std::string idempotency_key;
    cancellation cancelled;
  };

  net::http_response answer_at_once(const net::http_request& request) {
    if (request.method != "GET") {
      return error_answer(404, "not_found", "no such route");
    }
    if (request.target == "/v1/models") {
      return json_answer(200, boost::json::serialize(model_list()));
    }
    if (request.target == "/load") {
      return json_answer(200, boost::json::serialize(load()));
    }
    if (request.target == "/standin/counters") {
      return json_answer(200, boost::json::serialize(counters()));
    }
    return error_answer(404, "not_found", "no such route");
  }

  boost::json::object model_list() const {
    boost::json::array data;
    for (const std::string& model : models_) {
      data.push_back(boost::json::object{{"id", model}, {"object", "model"}});
    }
    return {{"object", "list"}, {"data", std::move(data)}};
  }

  boost::json::object load() {
    const engine_batch::load reported = batch_.reported();
    boost::json::object body{{"running", reported.running},
                             {"waiting", reported.waiting},
                             {"slots", options_.slots},
                             {"fencing", fencing_}};
    body["models"] = boost::json::array(models_.begin(), models_.end());
    body["age_ms"] = options_.report_lag.count() / 1000;
    return body;
  }

  boost::json::object counters() const {
    const engine_batch::load now = batch_.current();
    boost::json::object body{{"requests", requests_},   {"tokens", tokens_},
                             {"cancelled", cancelled_}, {"prefix_hits", prefix_hits_},
                             {"orders", orders_},       {"orders_refused", orders_refused_}};
    body["running"] = now.running;
    body["waiting"] = now.waiting;
    body["tokens_by_request"] = tokens_by_request_.to_json();
    body["runs_by_key"] = runs_by_key_.to_json();
    return body;
  }

  awaitable<void> obey(std::string_view text, net::response_writer& writer) {
    const boost::json::object order = object_of(text);
    const std::string kind = text_of(order, "kind");
    const std::string model = text_of(order, "model");
    const std::int64_t fencing = integer_of(order, "fencing");
    net::http_response answer = error_answer(400, "bad_order", "unknown kind or no model");
    if (!model.empty() && (kind == "load_model" || kind == "unload_model")) {
      answer = co_await carry_out(kind == "load_model", model, fencing);
    }
    co_await reply(writer, std::move(answer));
  }

  awaitable<net::http_response> carry_out(bool load_it, std::string model, std::int64_t fencing) {
    if (options_.checks_fencing && fencing < fencing_) {
      ++orders_refused_;
      co_return error_answer(409, "old_fencing_number", "a newer holder has given orders");
    }
    fencing_ = std::max(fencing_, fencing);
    ++orders_;
    if (load_it && !models_.contains(model)) {
      co_await sleep_for(options_.load_model);
      models_.insert(model);
    } else if (!load_it) {
      models_.erase(model);
    }
    co_return json_answer(200, boost::json::serialize(load()));
  }

  awaitable<void> generate(const net::http_request& request, net::response_writer& writer,
                           bool chat) {
    auto parsed = parse_generation(request.body, chat, options_.longest);
    if (!parsed) {
      const bool not_json = parsed.last_reason() == request_fault::not_json;
      net::http_response refusal =
          error_answer(400, "invalid_request_error", not_json ? "not JSON" : "no prompt");
      co_await reply(writer, std::move(refusal));
      co_return;
    }
    if (!models_.contains(parsed->model)) {
      net::http_response refusal = error_answer(404, "not_found_error", "no such model");
      co_await reply(writer, std::move(refusal));
      co_return;
    }
    job work{std::move(*parsed),
             std::string(request.header("x-request-id").value_or("")),
             std::string(request.header("idempotency-key").value_or("")),
             {}};
    ++requests_;
    runs_by_key_.add(work.idempotency_key);
    co_await run(work, writer);
  }

  awaitable<void> run(job& work, net::response_writer& writer) {
    writer.on_peer_disconnect([&work] { work.cancelled.request(); });
    const bool started = co_await batch_.acquire(work.request.priority, work.cancelled);
    if (!started) {
      ++cancelled_;
      co_return;
    }
    bool whole = false;
    if (work.request.stream) {
      whole = co_await stream(work, writer);
    } else {
      whole = co_await answer_whole(work, writer);
    }
    cancelled_ += whole ? 0 : 1;
    batch_.release();
  }

  net::header_list headers(const job& work, std::string type) const {
    net::header_list list;
    list.emplace_back("Content-Type", std::move(type));
    if (!work.id.empty()) {
      list.emplace_back("x-request-id", work.id);
    }
    return list;
  }

  awaitable<bool> stream(job& work, net::response_writer& writer) {
    bool open = co_await prefill(work);
    net::header_list list = headers(work, "text/event-stream");
    auto begun = co_await writer.start(200, std::move(list));
    open = open && begun.has_value();
    for (std::uint32_t index = work.request.begin; open && index < work.request.end; ++index) {
      open = co_await step(work, index);
      if (!open) {
        break;
      }
      const std::string text = token_text(work.request, index);
      const std::string piece = event(chunk(work.request, work.id, text, false));
      auto written = co_await writer.write(piece);
      open = open && written.has_value();
    }
    if (!open) {
      writer.abort();
      co_return false;
    }
    const std::string closing = closing_events(work.request, work.id);
    auto closed = co_await writer.write(closing);
    auto finished = co_await writer.finish();
    co_return closed.has_value() && finished.has_value();
  }

  awaitable<bool> answer_whole(job& work, net::response_writer& writer) {
    bool open = co_await prefill(work);
    std::string text;
    for (std::uint32_t index = work.request.begin; open && index < work.request.end; ++index) {
      open = co_await step(work, index);
      text += token_text(work.request, index);
    }
    if (!open) {
      writer.abort();
      co_return false;
    }
    net::http_response answer;
    answer.headers = headers(work, "application/json");
    answer.body = whole_answer(work.request, work.id, text);
    auto sent = co_await writer.send(std::move(answer));
    co_return sent.has_value();
  }

  awaitable<bool> prefill(job& work) {
    auto span = options_.first_token;
    if (cache_.touch(work.request.prefix)) {
      ++prefix_hits_;
      span /= 2;
    }
    co_return co_await pass(span, work);
  }

  // The first token is ready with the prompt; each further one takes a step of the batch.
  awaitable<bool> step(job& work, std::uint32_t index) {
    if (index > work.request.begin) {
      const bool open = co_await pass(options_.token, work);
      if (!open) {
        co_return false;
      }
    }
    ++tokens_;
    tokens_by_request_.add(work.id);
    co_return true;
  }

  awaitable<bool> pass(std::chrono::microseconds span, job& work) {
    const double others = static_cast<double>(batch_.current().running - 1);
    const double factor = faults_->slow_factor() * (1 + options_.slowdown * others);
    const auto length = std::chrono::microseconds(
        static_cast<std::int64_t>(static_cast<double>(span.count()) * factor));
    if (length.count() > 0) {
      co_await sleep_for(length);
    }
    co_return !work.cancelled.requested && !faults_->down();
  }

  engine_options options_;
  std::shared_ptr<fault_switches> faults_;
  engine_batch batch_;
  prefix_cache cache_;
  std::set<std::string> models_;
  std::int64_t fencing_ = 0;
  std::uint64_t requests_ = 0;
  std::uint64_t tokens_ = 0;
  std::uint64_t cancelled_ = 0;
  std::uint64_t prefix_hits_ = 0;
  std::uint64_t orders_ = 0;
  std::uint64_t orders_refused_ = 0;
  run_counter tokens_by_request_;
  run_counter runs_by_key_;
};

}  // namespace

std::unique_ptr<engine> engine::create(engine_options options,
                                       std::shared_ptr<fault_switches> faults) {
  return std::make_unique<paced_engine>(std::move(options), std::move(faults));
}

}  // namespace hawthornnotch::standin
