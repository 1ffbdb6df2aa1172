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
/// How long other entry VMs are told that a server leaves; the list tells them meanwhile.
constexpr duration departure_told_for{4'000};
/// Servers that may refuse a request before its caller is asked to come back: where several are
/// full, further tries take the time of others and the retry budget from other requests.
constexpr std::uint32_t most_refusals = 4;
/// A longer answer goes to the caller piece by piece, since entry VMs have little memory.
constexpr std::size_t most_held_bytes = 256 * 1024;
/// Callers who are turned away together return over at most this time.
constexpr duration longest_spread{2'000};
/// A caller is not asked to wait for more than this part of the time that it has left.
constexpr std::int64_t return_part = 3;

constexpr unsigned service_unavailable = 503;
constexpr unsigned first_success = 200;
constexpr unsigned first_redirect = 300;
constexpr unsigned first_server_error = 500;

bool is_success(unsigned status) { return status >= first_success && status < first_redirect; }

}  // namespace

asio::awaitable<request_run::next_step> request_run::deliver(net::response_stream& answer) {
  const response_info facts = shared_.wire.decode_answer(answer.head());
  arrived_somewhere_ = true;
  load_ = facts.load;
  take_notices(facts);
  if (facts.not_run) {
    co_return after_refusal(facts, answer.head().status);
  }
  const bool trusted = facts.sealed && !facts.body_transformed;
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

void request_run::take_notices(const response_info& facts) {
  if (facts.leaving) {
    known_.hear_departure({chosen_.server.id, chosen_.server.start_time_ms, departure_told_for},
                          chosen_.server.id);
  }
  if (facts.pause) {
    shared_.dispatcher.pause(*sending_, *facts.pause, shared_.time.now());
    shared_.metrics->count("hawthornnotch_server_pauses_total", {{"service", service_}});
    log_event(
        level::info, "server_paused",
        {{"request_id", request_.id}, {"server", chosen_.server.id}, {"for_ms", facts.pause->ms}});
  }
}

request_run::next_step request_run::after_refusal(const response_info& facts, unsigned status) {
  dispatch::attempt_end end = dispatch::attempt_end::refused;
  if (facts.wrong_server) {
    end = dispatch::attempt_end::wrong_server;
  } else if (facts.pause) {
    end = dispatch::attempt_end::pause_requested;
  }
  finish_sending(end);
  log_event(level::info, "server_refused",
            {{"request_id", request_.id}, {"server", tried_.back()}, {"status", status}});
  ++refusals_;
  return refusals_ < most_refusals ? next_step::may_repeat : next_step::must_end;
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
    if (whole.body.size() > most_held_bytes) {
      const next_step next = co_await deliver_long(answer, std::move(whole.body));
      co_return next;
    }
  }
  const next_step next = co_await end_whole(std::move(whole));
  co_return next;
}

// The answer is there from its first to its last byte.
asio::awaitable<request_run::next_step> request_run::end_whole(net::http_response whole) {
  const bool server_error = whole.status >= first_server_error;
  const time_point now = shared_.time.now();
  shared_.dispatcher.record_events(*sending_, 1, now);
  finish_sending(server_error ? dispatch::attempt_end::server_error
                              : dispatch::attempt_end::completed);
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

// Hands on an answer that is too long to be held until it is whole.  A failure's text is never that
// long: those bytes are no answer.
asio::awaitable<request_run::next_step> request_run::deliver_long(net::response_stream& answer,
                                                                  std::string begin) {
  if (head_sent_ || answer.head().status >= first_server_error) {
    answer.cancel();
    co_return after_failure({net::net_failure_kind::too_large, true});
  }
  shared_.dispatcher.record_events(*sending_, 1, shared_.time.now());
  const bool started = co_await start_answer(answer.head());
  if (!started) {
    co_return caller_has_left(answer);
  }
  std::string piece = std::move(begin);
  while (!piece.empty()) {
    const bool written = co_await write_on(piece);
    if (!written) {
      co_return caller_has_left(answer);
    }
    auto next = co_await answer.read();
    if (!next) {
      co_return after_failure(next.last_reason());
    }
    piece = std::move(*next);
  }
  finish_sending(dispatch::attempt_end::completed);
  ++runs_;
  const auto finished = co_await writer_.finish();
  outcome_ = finished ? "delivered" : "caller_left";
  co_return next_step::done;
}

asio::awaitable<bool> request_run::write_on(std::string_view bytes) {
  const auto written = co_await writer_.write(bytes);
  co_return written.has_value();
}

request_run::next_step request_run::caller_has_left(net::response_stream& answer) {
  answer.cancel();
  caller_left_ = true;
  finish_sending(dispatch::attempt_end::abandoned);
  return next_step::must_end;
}

asio::awaitable<request_run::next_step> request_run::deliver_events(net::response_stream& answer) {
  splitter_.restart();
  time_point progress_at = shared_.time.now();
  while (true) {
    auto piece = co_await answer.read();
    if (!piece) {
      co_return after_failure(piece.last_reason());
    }
    if (piece->empty()) {
      break;
    }
    const event_batch batch = splitter_.take(*piece);
    if (batch.broken) {
      answer.cancel();
      co_return after_failure({net::net_failure_kind::malformed, true});
    }
    const time_point now = shared_.time.now();
    if (batch.count == 0) {
      // Bytes that bring no event do not keep a stream alive.
      if (now - progress_at > event_timeout_) {
        answer.cancel();
        co_return after_failure({net::net_failure_kind::timed_out, true});
      }
      continue;
    }
    progress_at = now;
    note_events();
    shared_.dispatcher.record_events(*sending_, batch.count, now);
    const bool forwarded = co_await forward(answer.head(), batch);
    if (!forwarded) {
      co_return caller_has_left(answer);
    }
  }
  if (!splitter_.between_events()) {
    co_return after_failure({net::net_failure_kind::malformed, true});
  }
  finish_sending(dispatch::attempt_end::completed);
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
  const bool written = co_await write_on(batch.text);
  co_return written;
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
  } else if (all_paused_) {
    co_await refuse(own_answer::overloaded);
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

duration request_run::base_wait(own_answer why) const {
  if (why == own_answer::no_configuration) {
    return configuration_return;
  }
  if (why == own_answer::overloaded) {
    const auto end = shared_.dispatcher.shortest_remaining_pause(service_, shared_.time.now());
    return end.value_or(usual_return);
  }
  return usual_return;
}

// Spread over time, so that callers who were turned away together do not return together.
std::optional<duration> request_run::retry_after(own_answer why) {
  if (status_of(why) != service_unavailable) {
    return std::nullopt;
  }
  const duration base = base_wait(why);
  const auto longest = static_cast<double>(std::min(base, longest_spread).ms);
  duration wait = base + duration{static_cast<std::int64_t>(shared_.random.unit() * longest)};
  if (request_.time_left) {
    wait = std::min(wait, *request_.time_left / return_part);
  }
  return wait;
}

}  // namespace hawthornnotch::gateway::internal
