/// \file
/// Why a caller gets an error instead of an answer, and what that proves about its request.
#ifndef HAWTHORNNOTCH_ROUTER_REJECTION_H_
#define HAWTHORNNOTCH_ROUTER_REJECTION_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/net/http_message.h"

namespace hawthornnotch::router {

/// What is known about a request that has no answer.
enum class outcome : std::uint8_t {
  /// Nothing was written to a backend server and nothing will be.
  not_run,
  /// It may have run.
  unknown,
};

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
  /// Of the operators' listener: nothing is known of this request id.
  unknown_request,
};

/// A typed error towards a caller.
struct rejection {
  reject_code code = reject_code::malformed_body;
  outcome what = outcome::not_run;
  /// When to come back; absent where a repetition can't help.
  std::optional<duration> retry_after;
  /// Names the offending field or value; never prompt text.
  std::string detail;
};

std::string_view to_string(outcome what);
/// \returns the code as it stands in the error's JSON.
std::string_view to_string(reject_code code);
/// \returns the HTTP status of a code.
unsigned status_of(reject_code code);
/// \returns `{"error":{"type","code","message","outcome","retry_after_ms"}}`.
std::string error_body(const rejection& why);
/// \returns the whole HTTP answer, with Retry-After in whole seconds, rounded up.
net::http_response to_response(const rejection& why, std::string_view request_id);

}  // namespace hawthornnotch::router

#endif  // HAWTHORNNOTCH_ROUTER_REJECTION_H_
