#include "attempt.h"

namespace hawthornnotch::router::internal {

namespace asio = boost::asio;

namespace {

constexpr unsigned status_too_many_requests = 429;
constexpr unsigned status_unavailable = 503;

}  // namespace

net::header_list backend_headers(const classified_request& request) {
  net::header_list headers;
  headers.emplace_back("x-request-id", request.id);
  headers.emplace_back("x-hawthornnotch-workspace", request.profile.workspace);
  headers.emplace_back("x-hawthornnotch-class", request.profile.traffic_class.name);
  if (!request.idempotency_key.empty()) {
    headers.emplace_back("Idempotency-Key", request.idempotency_key);
  }
  return headers;
}

net::exchange_limits exchange_limits_of(const attempt_context& context, bool reuse_connection) {
  net::exchange_limits limits;
  limits.connect_timeout = context.limits.connect_timeout;
  limits.head_timeout = context.limits.head_timeout;
  limits.read_timeout = context.limits.stream_timeout;
  limits.body_bytes = context.limits.answer_bytes;
  limits.reuse_connection = reuse_connection;
  limits.may_send = context.may_send;
  limits.cancellation = context.cancellation;
  return limits;
}

bool is_response_to(const net::http_response& head, const classified_request& request) {
  const auto echoed = head.header("x-request-id");
  return !echoed || *echoed == request.id;
}

attempt_failed attempt_failure_from(const net::net_failure& failure) {
  if (!failure.request_may_have_been_sent) {
    return {policy::attempt_end::connect_failed, false};
  }
  return {policy::attempt_end::stream_failed, true};
}

asio::awaitable<attempt_result> run_service_attempt(const classified_request& request,
                                                    const service_call& call,
                                                    attempt_context context, caller_sink& sink) {
  net::http_request outgoing;
  outgoing.method = call.method;
  outgoing.target = call.target;
  outgoing.headers = backend_headers(request);
  if (!call.content_type.empty()) {
    outgoing.headers.emplace_back("Content-Type", call.content_type);
  }
  outgoing.body = call.body;
  const bool idempotent = request.profile.traffic_class.idempotent;
  auto response = co_await context.http.fetch(context.assignment.address, std::move(outgoing),
                                              exchange_limits_of(context, idempotent));
  if (!response) {
    co_return attempt_failure_from(response.last_reason());
  }
  if (!is_response_to(*response, request)) {
    co_return attempt_failed{};
  }
  const bool is_busy =
      response->status == status_too_many_requests || response->status == status_unavailable;
  if (is_busy && idempotent) {
    co_return attempt_failed{policy::attempt_end::server_busy, true};
  }
  context.progress.on_token(context.assignment.attempt);
  attempt_completed completed;
  completed.status = response->status;
  completed.content_type = std::string(response->header("Content-Type").value_or("text/plain"));
  completed.body = std::move(response->body);
  co_await sink.send_response(completed.status, completed.content_type, completed.body);
  co_return completed;
}

}  // namespace hawthornnotch::router::internal
