/// \file
/// All that the scheduler keeps of one request.
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

/// One request from `submit` to its end.
struct request_record {
  ticket request = 0;
  request_profile profile;
  std::shared_ptr<workspace_state> workspace;
  time_point arrived;
  request_phase phase = request_phase::queued;
  /// Tries so far.
  std::uint32_t attempt = 0;
  /// Tries that failed; a preempted one did not.
  std::uint32_t failures = 0;
  /// Tokens of all tries that the caller has.
  std::uint32_t tokens = 0;
  /// The same when the running or the last try began.
  std::uint32_t tokens_before = 0;
  /// Server of the running or the last try.
  std::shared_ptr<server_state> server;
  /// Where the last try failed.
  std::shared_ptr<server_state> failed_at;
  time_point dispatched;
  time_point last_token;
  /// Stopped for a request that waits at the same server, which takes the slot there.
  bool yields_to_sent = false;
  /// The first token's arrival was reported and it is not yet part of an `on_tokens` count.
  bool first_uncounted = false;
  std::vector<trace_event> notes;
};

}  // namespace hawthornnotch::policy

#endif  // HAWTHORNNOTCH_POLICY_REQUEST_RECORD_H_
