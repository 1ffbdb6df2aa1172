/// \file
/// Parsing and validation of callers' HTTP requests.
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

/// A request to a model, served by an inference engine.
struct model_call {
  model_endpoint path = model_endpoint::chat;
  /// The caller's JSON body.
  boost::json::object body;
  bool stream = false;
  /// False if the response holds more than text (tools, log probabilities).  Such a response is
  /// forwarded unchanged and can't be resumed by another attempt.
  bool resumable = true;
  /// Limit of generated tokens: the caller's, at most that of the class.
  std::uint32_t max_tokens = 0;
};

/// A request to a service that is not a model.
struct service_call {
  std::string method;
  /// Path and query after the service's name; starts with a slash.
  std::string target;
  std::string content_type;
  std::string body;
};

/// A validated request with its class.
struct classified_request {
  /// The id that the router gave the request.
  std::string id;
  policy::request_profile profile;
  std::variant<model_call, service_call> call;
  /// Empty for an idempotent class.
  std::string idempotency_key;
  /// Hex SHA-256 of method, target and body; empty for an idempotent class.
  std::string fingerprint;
};

/// Parses and validates a caller's request against the active configuration.
/// \param id the id that the router gave the request.
/// \param authenticate true to take the workspace from the bearer key, false to take it from the
///     header x-hawthornnotch-workspace.
/// \returns the request, or the error for its caller; always with `execution_outcome::not_run`.
result<classified_request, rejection> classify(const net::http_request& request, std::string id,
                                               const control_view& control, bool authenticate);

/// \returns the workspace of a request, or `reject_code::unauthorized`.  Parameters as for
/// `classify`.
result<const workspace_parameters*, rejection> resolve_workspace(const net::http_request& request,
                                                                 const control_view& control,
                                                                 bool authenticate);

}  // namespace hawthornnotch::router

#endif  // HAWTHORNNOTCH_ROUTER_CLASSIFY_H_
