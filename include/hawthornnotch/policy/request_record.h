/// \file
/// The scheduler's state of one request.
#ifndef HAWTHORNNOTCH_POLICY_REQUEST_RECORD_H_
#define HAWTHORNNOTCH_POLICY_REQUEST_RECORD_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/policy/scheduler.h"
#include "hawthornnotch/policy/server_state.h"
#include "hawthornnotch/policy/view.h"
#include "hawthornnotch/policy/workspace_state.h"

namespace hawthornnotch::policy {

enum class request_phase : std::uint8_t { queued, running, stopping };

/// State of a request from `submit` until it ends.
struct request_record {
  ticket request = 0;
  request_profile profile;
  std::shared_ptr<workspace_state> workspace;
  time_point arrived;
  request_phase phase = request_phase::queued;
  /// Attempts so far.
  std::uint32_t attempt = 0;
  /// Failed attempts; a preempted attempt does not count.
  std::uint32_t failures = 0;
  /// Tokens delivered to the caller over all attempts.
  std::uint32_t tokens = 0;
  /// `tokens` when the current or last attempt began.
  std::uint32_t tokens_at_start = 0;
  /// Server of the current or last attempt.
  std::shared_ptr<server_state> server;
  /// Server of the last failed attempt.
  std::shared_ptr<server_state> failed_server;
  time_point dispatched;
  time_point last_token;
  /// Preempted for a request already dispatched to the same server, which gets the slot there.
  bool yields_to_dispatched = false;
  /// `on_first_token` was called, but the token is not yet part of an `on_tokens` count.
  bool first_token_uncounted = false;
  std::vector<trace_event> trace;
};

}  // namespace hawthornnotch::policy

#endif  // HAWTHORNNOTCH_POLICY_REQUEST_RECORD_H_
