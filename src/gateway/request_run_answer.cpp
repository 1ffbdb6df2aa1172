// The part of a request's run that hands a server's answer, or an own one, to the caller.
#include <algorithm>
#include <boost/asio/awaitable.hpp>
#include <utility>

#include "hawthornnotch/observe/log.h"
#include "request_run.h"

namespace hawthornnotch::gateway::internal {

namespace asio = boost::asio;
using observe::level;
using observe::log_event;

namespace {

/// Time a caller is asked to wait where nothing better is known.
constexpr duration usual_return{300};
constexpr duration configuration_return{400};
/// A caller is not asked to wait for more than this part of the time that it has left.
constexpr std::int64_t return_part = 3;

constexpr unsigned service_unavailable = 503;
constexpr unsigned first_success = 200;
constexpr unsigned first_redirect = 300;
constexpr unsigned first_server_error = 500;

bool is_success(unsigned status) { return status >= first_success && status < first_redirect; }

}  // namespace

asio::awaitable<request_run::next_step> request_run::deliver(net::response_stream& answer) {
  const answer_facts facts = shared_.wire.decode_answer(answer.head());
  arrived_somewhere_ = true;
  load_ = facts.load;
  if (facts.not_run) {
    finish_sending(facts.wrong_server ? dispatch::send_end::wrong_server
                                      : dispatch::send_end::refused);
    log_event(
        level::info, "server_refused",
        {{"request_id", request_.id}, {"server", tried_.back()}, {"status", answer.head().status}});
    co_return next_step::may_repeat;
  }
  const bool trusted = facts.sealed && !facts.altered;
  if (!trusted) {
    co_return after_failure({net::net_failure_kind::malformed, true});
  }
  const bool is_stream = route_->kind == routes::repeatability::event_stream;
  if (is_stream && is_success(answer.head().status)) {
    const next_step next = co_await deliver_events(answer);
    co_return next;
  }
  const next_step next = co_await deliver_whole(answer);
  co_return next;
}

asio::awaitable<request_run::next_step> request_run::deliver_whole(net::response_stream& answer) {
  net::http_response whole;
  whole.status = answer.head().status;
  whole.headers = shared_.wire.headers_for_caller(answer.head());
  while (true) {
    auto piece = co_await answer.read();
    if (!piece) {
      co_return after_failure(piece.last_reason());
    }
    if (piece->empty()) {
      break;
    }
    whole.body += *piece;
  }
  const bool server_error = whole.status >= first_server_error;
  const time_point now = shared_.time.now();
  shared_.dispatcher.events(*sending_, 1, now);
  finish_sending(server_error ? dispatch::send_end::server_error : dispatch::send_end::completed);
  ++runs_;
  const bool repeat = server_error && !head_sent_ && may_run_again() &&
                      runs_ < route_->max_attempts && !over() && time_to_send();
  if (repeat && repeat_allowed()) {
    kept_answer_ = std::move(whole);
    co_return next_step::may_repeat;
  }
  if (head_sent_) {
    co_return next_step::must_end;
  }
  first_event_after_ = now - arrived_;
  status_ = whole.status;
  outcome_ = server_error ? "server_error" : "delivered";
  const auto sent = co_await writer_.send(std::move(whole));
  if (!sent) {
    outcome_ = "caller_left";
  }
  co_return next_step::done;
}

asio::awaitable<request_run::next_step> request_run::deliver_events(net::response_stream& answer) {
  splitter_.restart();
  while (true) {
    auto piece = co_await answer.read();
    if (!piece) {
      co_return after_failure(piece.last_reason());
    }
    if (piece->empty()) {
      break;
    }
    const event_batch batch = splitter_.take(*piece);
    if (batch.out_of_order) {
      answer.cancel();
      co_return after_failure({net::net_failure_kind::malformed, true});
    }
    if (batch.count == 0) {
      continue;
    }
    note_events();
    shared_.dispatcher.events(*sending_, batch.count, shared_.time.now());
    const bool forwarded = co_await forward(answer.head(), batch);
    if (!forwarded) {
      answer.cancel();
      caller_left_ = true;
      finish_sending(dispatch::send_end::abandoned);
      co_return next_step::must_end;
    }
  }
  if (!splitter_.between_events()) {
    co_return after_failure({net::net_failure_kind::malformed, true});
  }
  finish_sending(dispatch::send_end::completed);
  outcome_ = "delivered";
  // A caller that has all events but not the end gets an answer without events.
  const bool started = co_await start_answer(answer.head());
  const auto finished = co_await writer_.finish();
  if (!started || !finished) {
    outcome_ = "caller_left";
  }
  co_return next_step::done;
}

void request_run::note_events() {
  const time_point now = shared_.time.now();
  if (events_ > 0) {
    longest_gap_ = std::max(longest_gap_, now - last_events_at_);
  }
  last_events_at_ = now;
}

asio::awaitable<bool> request_run::start_answer(const net::http_response& head) {
  if (head_sent_) {
    co_return true;
  }
  head_sent_ = true;
  status_ = head.status;
  first_event_after_ = shared_.time.now() - arrived_;
  net::header_list headers = shared_.wire.headers_for_caller(head);
  const auto started = co_await writer_.start(head.status, std::move(headers));
  co_return started.has_value();
}

asio::awaitable<bool> request_run::forward(const net::http_response& head,
                                           const event_batch& batch) {
  const bool started = co_await start_answer(head);
  if (!started) {
    co_return false;
  }
  events_ += batch.count;
  const auto written = co_await writer_.write(batch.text);
  co_return written.has_value();
}

asio::awaitable<void> request_run::answer_without_server() {
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
  if (kept_answer_) {
    status_ = kept_answer_->status;
    outcome_ = "server_error";
    const auto sent = co_await writer_.send(std::move(*kept_answer_));
    outcome_ = sent ? outcome_ : "caller_left";
    co_return;
  }
  const bool late = time_over_ || !time_to_send();
  if (runs_ > 0) {
    co_await refuse(late ? own_answer::time_over : own_answer::server_failed);
  } else if (late) {
    co_await refuse(own_answer::time_over_unsent);
  } else {
    co_await refuse(tried_.empty() ? own_answer::no_server : own_answer::servers_refused);
  }
}

asio::awaitable<void> request_run::refuse(own_answer why) {
  outcome_ = to_string(why);
  status_ = status_of(why);
  net::http_response response = to_response(why, retry_after(why));
  const auto sent = co_await writer_.send(std::move(response));
  if (!sent) {
    outcome_ = "caller_left";
  }
}

// Spread over time, so that callers who were turned away together do not return together.
std::optional<duration> request_run::retry_after(own_answer why) {
  if (status_of(why) != service_unavailable) {
    return std::nullopt;
  }
  const duration base = why == own_answer::no_configuration ? configuration_return : usual_return;
  const auto spread =
      static_cast<std::int64_t>(shared_.random.unit() * static_cast<double>(base.ms));
  duration wait = base + duration{spread};
  if (request_.time_left) {
    wait = std::min(wait, *request_.time_left / return_part);
  }
  return wait;
}

}  // namespace hawthornnotch::gateway::internal
