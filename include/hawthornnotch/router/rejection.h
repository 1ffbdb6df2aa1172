/// \file
/// Errors returned to callers, each with whether the request may have run.
#ifndef HAWTHORNNOTCH_ROUTER_REJECTION_H_
#define HAWTHORNNOTCH_ROUTER_REJECTION_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/net/http_message.h"

namespace hawthornnotch::router {

/// Whether a request without a response may have run.
enum class execution_outcome : std::uint8_t {
  /// Nothing was written to a backend server and nothing will be, so a retry is safe.
  not_run,
  /// It may have run.
  unknown,
};

/// Stable error codes; written out by `to_string` under their own names.
enum class reject_code : std::uint8_t {
  malformed_body,
  unsupported_request,
  unknown_path,
  method_not_allowed,
  unauthorized,
  unknown_class,
  unknown_model,
  model_not_allowed,
  missing_idempotency_key,
  bad_idempotency_key,
  key_conflict,
  in_progress,
  outcome_unknown,
  answer_not_kept,
  not_ready,
  stopping,
  no_backend_server,
  workspace_rate,
  workspace_queue,
  queue_full,
  queue_limit_passed,
  retry_budget,
  platform_down,
  platform_slow,
  claim_table_full,
  backend_failed,
  answer_too_large,
  /// Returned by the operators' listener only: the request id is unknown or no longer kept.
  unknown_request,
};

/// An error for a caller.
struct rejection {
  reject_code code = reject_code::malformed_body;
  execution_outcome outcome = execution_outcome::not_run;
  /// Delay before a retry; absent if a retry can't succeed.
  std::optional<duration> retry_after;
  /// Appended to the message: the invalid field or value, never prompt text.
  std::string detail;
};

std::string_view to_string(execution_outcome outcome);
/// \returns the name of the code, as in the error's JSON.
std::string_view to_string(reject_code code);
/// \returns the HTTP status of a code.
unsigned status_of(reject_code code);
/// \returns `{"error":{"type","code","message","outcome","retry_after_ms"}}`.
std::string error_body(const rejection& reason);
/// \returns the HTTP response, with Retry-After in whole seconds, rounded up.
net::http_response to_response(const rejection& reason, std::string_view request_id);

}  // namespace hawthornnotch::router

#endif  // HAWTHORNNOTCH_ROUTER_REJECTION_H_
