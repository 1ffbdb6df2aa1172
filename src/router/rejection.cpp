#include "hawthornnotch/router/rejection.h"

#include <array>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace hawthornnotch::router {

namespace {

struct code_entry {
  reject_code code;
  std::string_view name;
  unsigned status;
  std::string_view type;
  std::string_view message;
};

constexpr std::string_view invalid = "invalid_request_error";
constexpr std::string_view overloaded_type = "overloaded_error";
constexpr std::string_view unavailable = "unavailable_error";

// Indexed by `reject_code`.
constexpr std::array entries = std::to_array<code_entry>({
    {reject_code::malformed_body, "malformed_body", 400, invalid,
     "the body is not a valid request"},
    {reject_code::unsupported_request, "unsupported_request", 400, invalid,
     "the request asks for what is not supported"},
    {reject_code::unknown_path, "unknown_path", 404, invalid, "there is nothing at this path"},
    {reject_code::method_not_allowed, "method_not_allowed", 405, invalid,
     "the path does not take this method"},
    {reject_code::unauthorized, "unauthorized", 401, "authentication_error",
     "no workspace has this key"},
    {reject_code::unknown_class, "unknown_class", 400, invalid,
     "the workspace has no such request class"},
    {reject_code::unknown_model, "unknown_model", 404, invalid,
     "no backend server serves this name"},
    {reject_code::model_not_allowed, "model_not_allowed", 403, "permission_error",
     "the workspace may not call this"},
    {reject_code::missing_idempotency_key, "missing_idempotency_key", 400, invalid,
     "the request class needs an Idempotency-Key header"},
    {reject_code::bad_idempotency_key, "bad_idempotency_key", 400, invalid,
     "the Idempotency-Key must be 1 to 200 printable characters"},
    {reject_code::key_conflict, "key_conflict", 422, invalid,
     "the Idempotency-Key was used with another request"},
    {reject_code::in_progress, "in_progress", 409, "conflict_error",
     "a request with this key is in progress"},
    {reject_code::outcome_unknown, "outcome_unknown", 409, "conflict_error",
     "a request with this key may have run; its result is not known"},
    {reject_code::answer_not_kept, "answer_not_kept", 409, "conflict_error",
     "the request ran once; its answer was too long to keep"},
    {reject_code::not_ready, "not_ready", 503, unavailable, "the router has no configuration yet"},
    {reject_code::stopping, "stopping", 503, unavailable, "the router is stopping"},
    {reject_code::no_backend_server, "no_backend_server", 503, unavailable,
     "no backend server is available"},
    {reject_code::workspace_rate, "workspace_rate", 429, "rate_limit_error",
     "the workspace's rate is used up"},
    {reject_code::workspace_queue, "workspace_queue", 429, "rate_limit_error",
     "the workspace's queue is full"},
    {reject_code::queue_full, "queue_full", 503, overloaded_type, "the queue is full"},
    {reject_code::queue_limit_passed, "queue_limit_passed", 503, overloaded_type,
     "the request waited too long"},
    {reject_code::retry_budget, "retry_budget", 503, overloaded_type, "the retries are used up"},
    {reject_code::platform_down, "platform_down", 503, unavailable,
     "the request can't be claimed now"},
    {reject_code::platform_slow, "platform_slow", 503, unavailable,
     "the request could not be claimed in time"},
    {reject_code::claim_table_full, "claim_table_full", 503, overloaded_type,
     "too many requests are being claimed"},
    {reject_code::backend_failed, "backend_failed", 502, "backend_error",
     "the backend server failed"},
    {reject_code::answer_too_large, "answer_too_large", 502, "backend_error",
     "the backend server's answer is too large"},
    {reject_code::unknown_request, "unknown_request", 404, invalid,
     "nothing is known of this request"},
});

constexpr bool is_in_order() {
  for (std::size_t index = 0; index < entries.size(); ++index) {
    if (static_cast<std::size_t>(entries[index].code) != index) {
      return false;
    }
  }
  return true;
}
static_assert(is_in_order());
static_assert(entries.size() == static_cast<std::size_t>(reject_code::unknown_request) + 1);

const code_entry& entry_of(reject_code code) { return entries.at(static_cast<std::size_t>(code)); }

constexpr std::int64_t ms_per_second = 1000;

std::int64_t whole_seconds(duration span) { return (span.ms + ms_per_second - 1) / ms_per_second; }

}  // namespace

std::string_view to_string(execution_outcome outcome) {
  switch (outcome) {
    case execution_outcome::not_run:
      return "not_run";
    case execution_outcome::unknown:
      return "unknown";
  }
  return "";
}

std::string_view to_string(reject_code code) { return entry_of(code).name; }

unsigned status_of(reject_code code) { return entry_of(code).status; }

std::string error_body(const rejection& reason) {
  const code_entry& entry = entry_of(reason.code);
  std::string message(entry.message);
  if (!reason.detail.empty()) {
    message += ": " + reason.detail;
  }
  boost::json::object error;
  error["type"] = entry.type;
  error["code"] = entry.name;
  error["message"] = message;
  error["outcome"] = to_string(reason.outcome);
  if (reason.retry_after) {
    error["retry_after_ms"] = reason.retry_after->ms;
  }
  boost::json::object body;
  body["error"] = std::move(error);
  return boost::json::serialize(body);
}

net::http_response to_response(const rejection& reason, std::string_view request_id) {
  net::http_response response;
  response.status = status_of(reason.code);
  response.headers.emplace_back("Content-Type", "application/json");
  response.headers.emplace_back("x-request-id", std::string(request_id));
  if (reason.retry_after) {
    response.headers.emplace_back("Retry-After",
                                  std::to_string(whole_seconds(*reason.retry_after)));
  }
  response.body = error_body(reason);
  return response;
}

}  // namespace hawthornnotch::router
