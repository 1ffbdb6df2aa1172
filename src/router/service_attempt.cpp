#include "attempt.h"

namespace hawthornnotch::router::internal {

namespace asio = boost::asio;

namespace {

constexpr unsigned status_too_many = 429;
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
  limits.may_send = context.permission;
  limits.cancellation = context.cancellation;
  return limits;
}

bool answers_request(const net::http_response& head, const classified_request& request) {
  const auto echoed = head.header("x-request-id");
  return !echoed || *echoed == request.id;
}

attempt_failed failure_of(const net::net_failure& why) {
  if (!why.request_may_have_been_sent) {
    return {policy::attempt_end::connect_failed, false};
  }
  return {policy::attempt_end::stream_failed, true};
}

asio::awaitable<attempt_result> try_service(const classified_request& request,
                                            const service_call& call, attempt_context context,
                                            caller_sink& sink) {
  net::http_request sent;
  sent.method = call.method;
  sent.target = call.target;
  sent.headers = backend_headers(request);
  if (!call.content_type.empty()) {
    sent.headers.emplace_back("Content-Type", call.content_type);
  }
  sent.body = call.body;
  const bool idempotent = request.profile.traffic_class.idempotent;
  auto answer = co_await context.http.fetch(context.to.address, std::move(sent),
                                            exchange_limits_of(context, idempotent));
  if (!answer) {
    co_return failure_of(answer.last_reason());
  }
  if (!answers_request(*answer, request)) {
    co_return attempt_failed{};
  }
  const bool is_busy = answer->status == status_too_many || answer->status == status_unavailable;
  if (is_busy && idempotent) {
    co_return attempt_failed{policy::attempt_end::server_busy, true};
  }
  context.progress.on_token(context.to.attempt);
  attempt_completed done;
  done.status = answer->status;
  done.content_type = std::string(answer->header("Content-Type").value_or("text/plain"));
  done.body = std::move(answer->body);
  co_await sink.send_whole(done.status, done.content_type, done.body);
  co_return done;
}

}  // namespace hawthornnotch::router::internal
