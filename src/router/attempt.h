// One try of a request at one backend server.
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

// The whole answer has been received and handed to the caller.
struct attempt_completed {
  unsigned status = 200;
  std::string content_type;
  // As it is recorded for a claimed request.
  std::string body;
};
struct attempt_failed {
  policy::attempt_end end = policy::attempt_end::stream_failed;
  // True unless it is certain that no byte reached the backend server.
  bool may_have_run = true;
};
using attempt_result = std::variant<attempt_completed, attempt_failed>;

// Tells the scheduler and the measurement of a try's progress.
class progress_listener {
 public:
  virtual ~progress_listener() = default;
  virtual void on_token(std::uint32_t attempt) = 0;
};

// What one try needs besides the request itself.
struct attempt_context {
  const backend_limits& limits;
  net::http_client& http;
  policy::assigned to;
  // Null where the request needs no claim.
  std::function<bool()> permission;
  std::shared_ptr<net::cancellation_token> cancellation;
  progress_listener& progress;
};

// Headers by which caller, router and backend server tie a request to its answer.
net::header_list backend_headers(const classified_request& request);
net::exchange_limits exchange_limits_of(const attempt_context& context, bool reuse_connection);
// An answer that names another request's id is another request's answer.
bool answers_request(const net::http_response& head, const classified_request& request);
attempt_failed failure_of(const net::net_failure& why);

// Sends a plain service's request and hands its answer over whole.
boost::asio::awaitable<attempt_result> try_service(const classified_request& request,
                                                   const service_call& call,
                                                   attempt_context context, caller_sink& sink);

}  // namespace hawthornnotch::router::internal

#endif  // HAWTHORNNOTCH_SRC_ROUTER_ATTEMPT_H_
