#include "call_support.h"

namespace hawthornnotch::platform::internal {

namespace {

constexpr unsigned status_not_found = 404;
constexpr unsigned status_request_timeout = 408;
constexpr unsigned status_too_many_requests = 429;
constexpr unsigned status_unavailable = 503;
constexpr unsigned status_gateway_timeout = 504;

failure_kind kind_of(net::net_failure_kind kind) {
  switch (kind) {
    case net::net_failure_kind::resolve:
    case net::net_failure_kind::address_in_use:
    case net::net_failure_kind::connect:
    case net::net_failure_kind::closed:
    case net::net_failure_kind::cancelled:
      return failure_kind::unreachable;
    case net::net_failure_kind::timed_out:
    case net::net_failure_kind::unacknowledged:
      return failure_kind::timed_out;
    case net::net_failure_kind::too_large:
    case net::net_failure_kind::malformed:
      return failure_kind::malformed_answer;
  }
  return failure_kind::malformed_answer;
}

}  // namespace

platform_failure failure_of(const net::net_failure& failure) {
  return {kind_of(failure.kind), failure.request_may_have_been_sent};
}

platform_failure failure_of(unsigned status) {
  switch (status) {
    case status_not_found:
      return {failure_kind::lease_gone, true};
    case status_too_many_requests:
    case status_unavailable:
      return {failure_kind::overloaded, true};
    case status_request_timeout:
    case status_gateway_timeout:
      return {failure_kind::timed_out, true};
    default:
      return {failure_kind::malformed_answer, true};
  }
}

net::http_request make_post(std::string target, std::string body) {
  net::http_request request;
  request.method = "POST";
  request.target = std::move(target);
  request.headers.emplace_back("Content-Type", "application/json");
  request.body = std::move(body);
  return request;
}

}  // namespace hawthornnotch::platform::internal
