#include "beast_support.h"

namespace hawthornnotch::net::internal {

namespace {

bool is_too_large(const error_code& error) {
  return error == http::error::body_limit || error == http::error::header_limit ||
         error == http::error::buffer_overflow;
}

}  // namespace

bool is_cut_short(const error_code& error) {
  return error == http::error::end_of_stream || error == http::error::partial_message;
}

net_failure_kind to_failure_kind(const error_code& error) {
  if (error == beast::error::timeout) {
    return net_failure_kind::timed_out;
  }
  if (error == asio::error::timed_out) {
    return net_failure_kind::unacknowledged;
  }
  if (error == asio::error::operation_aborted) {
    return net_failure_kind::cancelled;
  }
  if (is_too_large(error)) {
    return net_failure_kind::too_large;
  }
  if (!is_cut_short(error) &&
      error.category() == http::make_error_code(http::error::bad_method).category()) {
    return net_failure_kind::malformed;
  }
  return net_failure_kind::closed;
}

}  // namespace hawthornnotch::net::internal
