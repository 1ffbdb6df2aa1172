// One attempt to run a request on one backend server.
#ifndef HAWTHORNNOTCH_SRC_ROUTER_ATTEMPT_H_
#define HAWTHORNNOTCH_SRC_ROUTER_ATTEMPT_H_

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <string>
#include <variant>

#include "caller_sink.h"
#include "hawthornnotch/net/http_client.h"
#include "hawthornnotch/policy/scheduler.h"
#include "hawthornnotch/router/classify.h"
#include "hawthornnotch/router/settings.h"

namespace hawthornnotch::router::internal {

// The whole response was received and passed to the caller sink.
struct attempt_completed {
  unsigned status = 200;
  std::string content_type;
  // The body that is recorded for a claimed request.
  std::string body;
};
// The backend server gave no complete, valid response.
struct attempt_failed {
  policy::attempt_end end = policy::attempt_end::stream_failed;
  // True unless it is certain that no byte reached the backend server.
  bool may_have_run = true;
};
using attempt_result = std::variant<attempt_completed, attempt_failed>;

// Receives the progress of an attempt, for the scheduler and the metrics.
class progress_listener {
 public:
  virtual ~progress_listener() = default;
  // Called for each received token; `attempt` is the number of the attempt.
  virtual void on_token(std::uint32_t attempt) = 0;
};

// Everything an attempt needs besides the request itself.
struct attempt_context {
  const backend_limits& limits;
  net::http_client& http;
  policy::assigned assignment;
  // See `claim_guard::send_check`; null if the request needs no claim.
  std::function<bool()> may_send;
  // Cancels the exchange when the caller leaves or the attempt is preempted.
  std::shared_ptr<net::cancellation_token> cancellation;
  progress_listener& progress;
};

// \returns the headers that identify the request, its workspace and its class to the backend
// server.
net::header_list backend_headers(const classified_request& request);
net::exchange_limits exchange_limits_of(const attempt_context& context, bool reuse_connection);
// \returns false if the response carries the x-request-id of another request.  A response without
// that header is accepted.
bool is_response_to(const net::http_response& head, const classified_request& request);
// `may_have_run` is false only if no byte of the request can have left.
attempt_failed attempt_failure_from(const net::net_failure& failure);

// Runs an attempt of a plain service call and sends its buffered response to the caller.
//
// Fails on a network error and on a response to another request; for an idempotent class also on
// status 429 or 503 (`server_busy`).  Every other status is passed to the caller.
boost::asio::awaitable<attempt_result> run_service_attempt(const classified_request& request,
                                                           const service_call& call,
                                                           attempt_context context,
                                                           caller_sink& sink);

}  // namespace hawthornnotch::router::internal

#endif  // HAWTHORNNOTCH_SRC_ROUTER_ATTEMPT_H_
