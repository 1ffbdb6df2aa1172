/// \file
/// From a caller's HTTP request to what the router decides on.
#ifndef HAWTHORNNOTCH_ROUTER_CLASSIFY_H_
#define HAWTHORNNOTCH_ROUTER_CLASSIFY_H_

#include <boost/json/object.hpp>
#include <cstdint>
#include <string>
#include <variant>

#include "hawthornnotch/base/result.h"
#include "hawthornnotch/net/http_message.h"
#include "hawthornnotch/policy/scheduler.h"
#include "hawthornnotch/router/control_state.h"
#include "hawthornnotch/router/rejection.h"

namespace hawthornnotch::router {

enum class model_endpoint : std::uint8_t { chat, completion };

/// A call of a model engine.
struct model_call {
  model_endpoint path = model_endpoint::chat;
  /// The caller's body.
  boost::json::object body;
  bool stream = false;
  /// False where the answer holds more than text (tools, log probabilities): it is passed through
  /// as it comes and can't be resumed.
  bool resumable = true;
  std::uint32_t max_tokens = 0;
};

/// A call of a plain service.
struct service_call {
  std::string method;
  /// Path and query behind the service's name.
  std::string target;
  std::string content_type;
  std::string body;
};

/// One request, checked and assigned to its class.
struct classified_request {
  std::string id;
  policy::request_profile profile;
  std::variant<model_call, service_call> call;
  /// Empty for an idempotent class.
  std::string idempotency_key;
  /// Hash of method, target and body.
  std::string fingerprint;
};

/// Checks a caller's request against the configuration in force.
/// \param id the id that the router gave the request.
/// \param authenticate whether the workspace comes from a bearer key or from its header.
/// \returns the request, or the error for its caller; always with `outcome::not_run`.
result<classified_request, rejection> classify(const net::http_request& request, std::string id,
                                               const control_view& control, bool authenticate);

/// \returns the workspace of a request.
result<const workspace_parameters*, rejection> find_caller(const net::http_request& request,
                                                           const control_view& control,
                                                           bool authenticate);

}  // namespace hawthornnotch::router

#endif  // HAWTHORNNOTCH_ROUTER_CLASSIFY_H_
