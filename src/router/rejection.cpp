#include "hawthornnotch/router/rejection.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace hawthornnotch::router {

namespace {

struct code_entry {
  std::string_view name;
  unsigned status;
  std::string_view type;
  std::string_view message;
};

constexpr std::string_view invalid = "invalid_request_error";
constexpr std::string_view overloaded_type = "overloaded_error";
constexpr std::string_view unavailable = "unavailable_error";

code_entry entry_of(reject_code code) {
  switch (code) {
    case reject_code::malformed_body:
      return {"malformed_body", 400, invalid, "the body is not a valid request"};
    case reject_code::unsupported_request:
      return {"unsupported_request", 400, invalid, "the request asks for what is not supported"};
    case reject_code::unknown_path:
      return {"unknown_path", 404, invalid, "there is nothing at this path"};
    case reject_code::method_not_allowed:
      return {"method_not_allowed", 405, invalid, "the path does not take this method"};
    case reject_code::unauthorized:
      return {"unauthorized", 401, "authentication_error", "no workspace has this key"};
    case reject_code::unknown_class:
      return {"unknown_class", 400, invalid, "the workspace has no such request class"};
    case reject_code::unknown_model:
      return {"unknown_model", 404, invalid, "no backend server serves this name"};
    case reject_code::model_not_allowed:
      return {"model_not_allowed", 403, "permission_error", "the workspace may not call this"};
    case reject_code::missing_idempotency_key:
      return {"missing_idempotency_key", 400, invalid,
              "the request class needs an Idempotency-Key header"};
    case reject_code::bad_idempotency_key:
      return {"bad_idempotency_key", 400, invalid,
              "the Idempotency-Key must be 1 to 200 printable characters"};
    case reject_code::key_conflict:
      return {"key_conflict", 422, invalid, "the Idempotency-Key was used with another request"};
    case reject_code::in_progress:
      return {"in_progress", 409, "conflict_error", "a request with this key is in progress"};
    case reject_code::outcome_unknown:
      return {"outcome_unknown", 409, "conflict_error",
              "a request with this key may have run; its result is not known"};
    case reject_code::answer_not_kept:
      return {"answer_not_kept", 409, "conflict_error",
              "the request ran once; its answer was too long to keep"};
    case reject_code::not_ready:
      return {"not_ready", 503, unavailable, "the router has no configuration yet"};
    case reject_code::stopping:
      return {"stopping", 503, unavailable, "the router is stopping"};
    case reject_code::no_backend_server:
      return {"no_backend_server", 503, unavailable, "no backend server is available"};
    case reject_code::workspace_rate:
      return {"workspace_rate", 429, "rate_limit_error", "the workspace's rate is used up"};
    case reject_code::workspace_queue:
      return {"workspace_queue", 429, "rate_limit_error", "the workspace's queue is full"};
    case reject_code::queue_full:
      return {"queue_full", 503, overloaded_type, "the queue is full"};
    case reject_code::queue_limit_passed:
      return {"queue_limit_passed", 503, overloaded_type, "the request waited too long"};
    case reject_code::retry_budget:
      return {"retry_budget", 503, overloaded_type, "the retries are used up"};
    case reject_code::platform_down:
      return {"platform_down", 503, unavailable, "the request can't be claimed now"};
    case reject_code::platform_slow:
      return {"platform_slow", 503, unavailable, "the request could not be claimed in time"};
    case reject_code::claim_table_full:
      return {"claim_table_full", 503, overloaded_type, "too many requests are being claimed"};
    case reject_code::backend_failed:
      return {"backend_failed", 502, "backend_error", "the backend server failed"};
    case reject_code::answer_too_large:
      return {"answer_too_large", 502, "backend_error", "the backend server's answer is too large"};
    case reject_code::unknown_request:
      return {"unknown_request", 404, invalid, "nothing is known of this request"};
  }
  return {};
}

constexpr std::int64_t ms_per_second = 1000;

std::int64_t whole_seconds(duration span) { return (span.ms + ms_per_second - 1) / ms_per_second; }

}  // namespace

std::string_view to_string(outcome what) {
  switch (what) {
    case outcome::not_run:
      return "not_run";
    case outcome::unknown:
      return "unknown";
  }
  return "";
}

std::string_view to_string(reject_code code) { return entry_of(code).name; }

unsigned status_of(reject_code code) { return entry_of(code).status; }

std::string error_body(const rejection& why) {
  const code_entry entry = entry_of(why.code);
  std::string message(entry.message);
  if (!why.detail.empty()) {
    message += ": " + why.detail;
  }
  boost::json::object error;
  error["type"] = entry.type;
  error["code"] = entry.name;
  error["message"] = message;
  error["outcome"] = to_string(why.what);
  if (why.retry_after) {
    error["retry_after_ms"] = why.retry_after->ms;
  }
  boost::json::object body;
  body["error"] = std::move(error);
  return boost::json::serialize(body);
}

net::http_response to_response(const rejection& why, std::string_view request_id) {
  net::http_response response;
  response.status = status_of(why.code);
  response.headers.emplace_back("Content-Type", "application/json");
  response.headers.emplace_back("x-request-id", std::string(request_id));
  if (why.retry_after) {
    response.headers.emplace_back("Retry-After", std::to_string(whole_seconds(*why.retry_after)));
  }
  response.body = error_body(why);
  return response;
}

}  // namespace hawthornnotch::router
