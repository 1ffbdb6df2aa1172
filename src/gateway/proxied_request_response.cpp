// Delivery of a server's response, or of a gateway error, to the caller.
#include <algorithm>
#include <boost/asio/awaitable.hpp>
#include <utility>

#include "hawthornnotch/observe/log.h"
#include "limit_events.h"
#include "load_events.h"
#include "proxied_request.h"

namespace hawthornnotch::gateway::internal {

namespace asio = boost::asio;
using observe::level;
using observe::log_event;

namespace {

/// Default Retry-After.
constexpr duration default_retry_after{300};
constexpr duration no_configuration_retry_after{400};
/// A part that was suspected wrongly is released about this soon.
constexpr duration quarantine_retry_after{2'000};
/// How long peers are told that a server is leaving; by then the server list shows it.
constexpr duration departure_gossip_time{4'000};
/// Number of servers that may reject a request before its caller is asked to retry later.  Where
/// several servers are full, further attempts load the others and use up other requests' retry
/// budget.
constexpr std::uint32_t max_refusals = 4;
/// A larger response is forwarded in pieces, since entry VMs have little memory.
constexpr std::size_t max_buffered_bytes = 256 * 1024;
/// Maximum jitter of Retry-After.
constexpr duration max_retry_spread{2'000};
/// Retry-After is at most the caller's timeout divided by this.
constexpr std::int64_t retry_after_divisor = 3;

constexpr unsigned service_unavailable = 503;
constexpr unsigned first_success = 200;
constexpr unsigned first_redirect = 300;
constexpr unsigned first_server_error = 500;

bool is_success(unsigned status) { return status >= first_success && status < first_redirect; }

}  // namespace

asio::awaitable<proxied_request::attempt_outcome> proxied_request::deliver_response(
    net::response_stream& answer) {
  const response_info details = shared_.wire.decode_answer(answer.head());
  reached_server_ = true;
  reported_load_ = details.load;
  apply_server_notices(details);
  if (details.not_run) {
    co_return on_attempt_refused(details, answer.head().status);
  }
  const bool trusted = details.sealed && !details.body_transformed;
  if (!trusted) {
    co_return on_attempt_failed({net::net_failure_kind::malformed, true});
  }
  answer_ = &answer;
  const attempt_outcome next = co_await deliver_body(answer);
  answer_ = nullptr;
  held_.set(0);
  co_return next;
}

asio::awaitable<proxied_request::attempt_outcome> proxied_request::deliver_body(
    net::response_stream& answer) {
  const bool is_stream = route_->kind == routes::repeatability::event_stream;
  if (is_stream && is_success(answer.head().status)) {
    return deliver_events(answer);
  }
  return deliver_buffered(answer);
}

void proxied_request::apply_server_notices(const response_info& details) {
  const auto limit_change = shared_.dispatcher.limits().record_answer(
      {placement_.server.id, placement_.server.start_time_ms}, details.limit, attempt_->sent_at,
      shared_.time.now());
  if (limit_change) {
    log_limit_change(*limit_change, placement_.server.id, request_.id);
  }
  if (shared_.dispatcher.record_room(*attempt_, service_, details.bearable_rejections_per_s,
                                     details.load, shared_.time.now())) {
    log_event(level::info, "service_brittle",
              {{"request_id", request_.id},
               {"service", service_},
               {"server", placement_.server.id},
               {"rejections_per_s", *details.bearable_rejections_per_s}});
  }
  // The answer of another server, or of an intermediary, does not tell this server's load.
  const bool of_server = !details.wrong_server && (details.sealed || details.not_run);
  if (details.load && of_server) {
    shared_.dispatcher.record_report(*attempt_, service_, *details.load, shared_.time.now());
  }
  if (details.load_malformed) {
    record_malformed_load(shared_, placement_.server.id, request_.id);
  }
  if (details.leaving) {
    updater_.apply_departure(
        {placement_.server.id, placement_.server.start_time_ms, departure_gossip_time},
        placement_.server.id);
  }
  if (details.pause) {
    shared_.dispatcher.pause(*attempt_, *details.pause, shared_.time.now());
    shared_.metrics->count("hawthornnotch_server_pauses_total", {{"service", service_}});
    log_event(level::info, "server_paused",
              {{"request_id", request_.id},
               {"server", placement_.server.id},
               {"for_ms", details.pause->ms}});
  }
}

proxied_request::attempt_outcome proxied_request::on_attempt_refused(const response_info& details,
                                                                     unsigned status) {
  dispatch::attempt_end end = dispatch::attempt_end::refused;
  if (details.wrong_server) {
    end = dispatch::attempt_end::wrong_server;
  } else if (details.pause) {
    end = dispatch::attempt_end::pause_requested;
  }
  if (!details.wrong_server) {
    shared_.dispatcher.record_rejection(*attempt_, service_, shared_.time.now());
  }
  finish_attempt(end);
  log_event(level::info, "server_refused",
            {{"request_id", request_.id}, {"server", tried_servers_.back()}, {"status", status}});
  ++refusals_;
  return refusals_ < max_refusals ? attempt_outcome::may_retry : attempt_outcome::give_up;
}

asio::awaitable<proxied_request::attempt_outcome> proxied_request::deliver_buffered(
    net::response_stream& answer) {
  net::http_response response;
  response.status = answer.head().status;
  response.headers = shared_.wire.headers_for_caller(answer.head());
  while (true) {
    auto piece = co_await answer.read();
    if (!piece) {
      co_return on_read_failed(piece.last_reason());
    }
    if (piece->empty()) {
      break;
    }
    count_usage();
    response.body += *piece;
    const bool may_pass_on = !head_sent_ && response.status < first_server_error;
    if (response.body.size() > max_buffered_bytes || (may_pass_on && shared_.held.is_scarce())) {
      held_.set(0);
      const attempt_outcome next = co_await deliver_unbuffered(answer, std::move(response.body));
      co_return next;
    }
    held_.set(response.body.size());
  }
  const attempt_outcome next = co_await finish_buffered(std::move(response));
  co_return next;
}

// Called when the response was received completely.
asio::awaitable<proxied_request::attempt_outcome> proxied_request::finish_buffered(
    net::http_response response) {
  const bool server_error = response.status >= first_server_error;
  const time_point now = shared_.time.now();
  record_answer_events(1);
  finish_attempt(server_error ? dispatch::attempt_end::server_error
                              : dispatch::attempt_end::completed);
  ++possible_executions_;
  const bool repeat = server_error && !head_sent_ && is_retryable() &&
                      possible_executions_ < route_->max_attempts && !is_aborted() &&
                      has_time_to_send();
  if (repeat && consume_retry()) {
    fallback_response_ = std::move(response);
    co_return attempt_outcome::may_retry;
  }
  if (head_sent_) {
    co_return attempt_outcome::give_up;
  }
  time_to_first_event_ = now - arrived_at_;
  status_ = response.status;
  outcome_ = server_error ? "server_error" : "delivered";
  const auto sent = co_await writer_.send(std::move(response));
  if (!sent) {
    outcome_ = "caller_left";
  }
  co_return attempt_outcome::done;
}

// Forwards a response that is too large to buffer.  A server error of that size is treated as
// malformed output, not as a response.
asio::awaitable<proxied_request::attempt_outcome> proxied_request::deliver_unbuffered(
    net::response_stream& answer, std::string begin) {
  if (head_sent_ || answer.head().status >= first_server_error) {
    answer.cancel();
    co_return on_attempt_failed({net::net_failure_kind::too_large, true});
  }
  record_answer_events(1);
  const bool started = co_await start_response(answer.head());
  if (!started) {
    co_return on_caller_left(answer);
  }
  std::string piece = std::move(begin);
  while (!piece.empty()) {
    const bool written = co_await write_body(piece);
    if (!written) {
      co_return on_caller_left(answer);
    }
    auto next = co_await answer.read();
    if (!next) {
      co_return on_attempt_failed(next.last_reason());
    }
    piece = std::move(*next);
  }
  finish_attempt(dispatch::attempt_end::completed);
  ++possible_executions_;
  const auto finished = co_await writer_.finish();
  outcome_ = finished ? "delivered" : "caller_left";
  co_return attempt_outcome::done;
}

asio::awaitable<bool> proxied_request::write_body(std::string_view bytes) {
  writing_ = true;
  const auto written = co_await writer_.write(bytes);
  writing_ = false;
  co_return written.has_value();
}

proxied_request::attempt_outcome proxied_request::on_caller_left(net::response_stream& answer) {
  answer.cancel();
  caller_left_ = true;
  finish_attempt(dispatch::attempt_end::abandoned);
  return attempt_outcome::give_up;
}

proxied_request::attempt_outcome proxied_request::on_read_failed(const net::net_failure& failure) {
  const bool too_large = std::exchange(gave_way_, false);
  return on_attempt_failed(too_large ? net::net_failure{net::net_failure_kind::too_large, true}
                                     : failure);
}

asio::awaitable<proxied_request::attempt_outcome> proxied_request::deliver_events(
    net::response_stream& answer) {
  splitter_.restart();
  time_point progress_at = shared_.time.now();
  while (true) {
    auto piece = co_await answer.read();
    if (!piece) {
      co_return on_read_failed(piece.last_reason());
    }
    if (piece->empty()) {
      break;
    }
    const event_batch batch = splitter_.take(*piece);
    held_.set(splitter_.held_bytes() + batch.text.size());
    if (batch.broken) {
      answer.cancel();
      co_return on_attempt_failed({net::net_failure_kind::malformed, true});
    }
    const time_point now = shared_.time.now();
    if (batch.count == 0) {
      // Bytes that complete no event do not reset the timeout.
      if (now - progress_at > event_timeout_) {
        answer.cancel();
        co_return on_attempt_failed({net::net_failure_kind::timed_out, true});
      }
      continue;
    }
    progress_at = now;
    record_event_gap();
    record_answer_events(batch.count);
    const bool may_begin = co_await on_stream_begun();
    if (!may_begin) {
      co_return on_stream_unrecorded(answer);
    }
    const bool forwarded = co_await forward_events(answer.head(), batch);
    if (!forwarded) {
      co_return on_caller_left(answer);
    }
    held_.set(splitter_.held_bytes());
  }
  if (!splitter_.between_events()) {
    co_return on_attempt_failed({net::net_failure_kind::malformed, true});
  }
  finish_attempt(dispatch::attempt_end::completed);
  outcome_ = "delivered";
  // A caller that resumes after the last event gets a response without events.
  const bool started = co_await start_response(answer.head());
  const auto finished = co_await writer_.finish();
  if (!started || !finished) {
    outcome_ = "caller_left";
  } else {
    on_stream_finished();
  }
  co_return attempt_outcome::done;
}

// A server error is no proof that the request has begun to run; its repeat may be.
void proxied_request::count_usage() {
  const bool counts = shared_.usage != nullptr && workspace_ != nullptr && !usage_counted_;
  if (counts && answer_->head().status < first_server_error) {
    usage_counted_ = true;
    shared_.usage->count(workspace_->name);
  }
}

void proxied_request::record_answer_events(std::uint32_t count) {
  count_usage();
  if (!attempt_->first_event_seen) {
    crashes_.on_answer_begun(carried_);
    const time_point now = shared_.time.now();
    const bool late = now - arrived_at_ > route_->target_latency;
    shared_.demand.record_first_event(service_, late, now);
  }
  shared_.dispatcher.record_events(*attempt_, count, shared_.time.now());
}

void proxied_request::record_event_gap() {
  const time_point now = shared_.time.now();
  if (events_ > 0) {
    longest_gap_ = std::max(longest_gap_, now - last_events_at_);
  }
  last_events_at_ = now;
}

asio::awaitable<bool> proxied_request::start_response(const net::http_response& head) {
  if (head_sent_) {
    co_return true;
  }
  head_sent_ = true;
  status_ = head.status;
  time_to_first_event_ = shared_.time.now() - arrived_at_;
  net::header_list headers = shared_.wire.headers_for_caller(head);
  const auto started = co_await writer_.start(head.status, std::move(headers));
  co_return started.has_value();
}

asio::awaitable<bool> proxied_request::forward_events(const net::http_response& head,
                                                      const event_batch& batch) {
  const bool started = co_await start_response(head);
  if (!started) {
    co_return false;
  }
  events_ += batch.count;
  const bool written = co_await write_body(batch.text);
  co_return written;
}

asio::awaitable<void> proxied_request::finish_without_server() {
  if (caller_left_) {
    outcome_ = "caller_left";
    writer_.abort();
    co_return;
  }
  if (head_sent_) {
    outcome_ = time_over_ ? "cut_time_over" : "cut_server_failed";
    writer_.abort();
    co_return;
  }
  if (fallback_response_) {
    status_ = fallback_response_->status;
    outcome_ = "server_error";
    const auto sent = co_await writer_.send(std::move(*fallback_response_));
    outcome_ = sent ? outcome_ : "caller_left";
    co_return;
  }
  const bool timed_out = time_over_ || !has_time_to_send();
  if (possible_executions_ > 0) {
    co_await send_error(timed_out ? gateway_error::time_over : gateway_error::server_failed);
  } else if (version_unavailable_) {
    co_await send_error(gateway_error::version_unavailable);
  } else if (quarantined_) {
    co_await send_error(gateway_error::quarantined);
  } else if (timed_out) {
    co_await send_error(gateway_error::time_over_unsent);
  } else if (all_paused_) {
    co_await send_error(gateway_error::overloaded);
  } else {
    co_await send_error(tried_servers_.empty() ? gateway_error::no_server
                                               : gateway_error::servers_refused);
  }
}

asio::awaitable<void> proxied_request::send_error(gateway_error error) {
  outcome_ = to_string(error);
  status_ = status_of(error);
  net::http_response response = to_response(error, retry_after(error));
  const auto sent = co_await writer_.send(std::move(response));
  if (!sent) {
    outcome_ = "caller_left";
  }
}

duration proxied_request::base_retry_after(gateway_error error) const {
  if (error == gateway_error::no_configuration) {
    return no_configuration_retry_after;
  }
  if (error == gateway_error::quarantined) {
    return quarantine_retry_after;
  }
  if (error == gateway_error::overloaded) {
    const auto end = shared_.dispatcher.shortest_remaining_pause(service_, shared_.time.now());
    return end.value_or(default_retry_after);
  }
  return default_retry_after;
}

// Jittered, so that callers rejected at the same time do not return at the same time.
std::optional<duration> proxied_request::retry_after(gateway_error error) {
  if (status_of(error) != service_unavailable) {
    return std::nullopt;
  }
  const duration base = base_retry_after(error);
  const auto max_jitter = static_cast<double>(std::min(base, max_retry_spread).ms);
  duration wait = base + duration{static_cast<std::int64_t>(shared_.random.unit() * max_jitter)};
  if (request_.time_left) {
    wait = std::min(wait, *request_.time_left / retry_after_divisor);
  }
  return wait;
}

}  // namespace hawthornnotch::gateway::internal
