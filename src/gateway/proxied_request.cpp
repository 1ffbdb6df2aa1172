#include "proxied_request.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <limits>
#include <utility>

#include "answer_events.h"
#include "hawthornnotch/base/hash.h"
#include "hawthornnotch/observe/log.h"
#include "server_timeouts.h"

namespace hawthornnotch::gateway::internal {

namespace asio = boost::asio;
using observe::level;
using observe::log_event;

namespace {

/// Minimum timeout for a stream's next event before the stream resumes at another server.
constexpr duration min_first_event_timeout{2'500};
/// A stream times out after this multiple of the expected time to its first event.
constexpr std::int64_t expected_latency_factor = 4;
/// An idempotent request is retried after this multiple of its target latency.
constexpr std::int64_t target_latency_factor = 2;
/// A request with less time remaining than this is not sent.
constexpr duration min_send_time{20};
/// Number of other VMs that may refuse to send a request's attempts before it is refused.
constexpr std::size_t max_forward_refusals = 8;
/// Size limit of a response that is not an event stream.
constexpr std::uint64_t max_response_bytes = 64 * 1024 * 1024;
/// How often a waiting request checks for the first configuration and server list.
constexpr std::chrono::milliseconds initial_state_poll_period{10};

}  // namespace

proxied_request::proxied_request(gateway_state& shared, state_updater& updater,
                                 crash_guard& crashes, stream_resumption& resumption,
                                 server_access access, net::response_writer& writer,
                                 const asio::any_io_executor& executor)
    : shared_(shared),
      updater_(updater),
      crashes_(crashes),
      resumption_(resumption),
      access_(access),
      writer_(writer),
      timer_(executor),
      breaker_(std::make_shared<net::cancellation_token>()),
      alive_(std::make_shared<bool>(true)),
      arrived_at_(shared.time.now()),
      splitter_(std::nullopt),
      held_(shared.held, [this] { give_way(); }) {
  shared_.open_requests.emplace(this, [this] { end_now(); });
}

proxied_request::~proxied_request() {
  *alive_ = false;
  shared_.open_requests.erase(this);
  writer_.on_peer_disconnect(nullptr);
}

asio::awaitable<void> proxied_request::run(net::http_request received) {
  request_ = shared_.wire.decode_request(std::move(received));
  monitor_caller();
  co_await await_initial_state();
  std::optional<gateway_error> refusal = find_route();
  if (!refusal && may_outlast_process()) {
    refusal = gateway_error::stopping;
  }
  if (refusal) {
    co_await send_error(*refusal);
  } else {
    prepare();
    start_timeout();
    shared_.retries.on_request(service_, arrived_at_);
    if (resumes_stream()) {
      const bool known = co_await find_version();
      version_unavailable_ = !known;
    }
    co_await send_with_retries();
  }
  timer_.cancel();
  log_request();
}

asio::awaitable<void> proxied_request::await_initial_state() {
  const time_point end = arrived_at_ + shared_.settings.startup_hold;
  while (!shared_.can_route() && !caller_left_ && shared_.time.now() < end) {
    timer_.expires_after(initial_state_poll_period);
    co_await timer_.async_wait(asio::as_tuple(asio::use_awaitable));
  }
}

std::optional<gateway_error> proxied_request::find_route() {
  using refusal = std::optional<gateway_error>;
  table_ = shared_.config.current();
  if (!table_) {
    return gateway_error::no_configuration;
  }
  const auto match = table_->find({request_.host, request_.path, request_.api_key});
  return std::visit(
      overloaded{
          [&](const routes::matched& what) -> refusal {
            route_ = what.found;
            workspace_ = what.workspace;
            return std::nullopt;
          },
          [](const routes::no_such_route&) -> refusal { return gateway_error::no_route; },
          [](const routes::unknown_api_key&) -> refusal { return gateway_error::unknown_api_key; },
      },
      match);
}

// Before the balancer has detected the stop, a refused caller would come back to this VM.
bool proxied_request::may_outlast_process() const {
  const bool streams = route_->kind == routes::repeatability::event_stream;
  const bool too_long = shared_.ends_at && arrived_at_ + allowed_time() > *shared_.ends_at;
  return shared_.balancer_detected_stop && (streams || too_long);
}

duration proxied_request::allowed_time() const {
  return request_.time_left ? std::min(*request_.time_left, route_->timeout) : route_->timeout;
}

void proxied_request::prepare() {
  constexpr std::uint64_t draws = 10'000;
  const std::uint64_t drawn = stable_hash(request_.id) % draws;
  const double draw = static_cast<double>(drawn) / static_cast<double>(draws);
  service_ = routes::route_table::pick_service(*route_, draw);
  const routes::service_definition* service = table_->service(service_);
  if (service != nullptr && service->engine) {
    prefixes_ = dispatch::prefixes_of(request_.prompt);
    carried_ = quarantine::shared_part_fingerprints(service_, request_.prompt);
    const std::uint32_t per_event = std::max(1U, service->engine->tokens_per_event);
    expected_events_ = static_cast<double>(request_.prompt.expected_output_tokens) / per_event;
  }
  const std::string_view workspace =
      workspace_ != nullptr ? std::string_view(workspace_->name) : std::string_view();
  carried_.push_back(
      quarantine::request_fingerprint({workspace, request_.host, request_.message.method,
                                       request_.message.target, request_.message.body}));
  deadline_ = arrived_at_ + allowed_time();
  splitter_ = event_splitter(request_.last_event_id);
}

bool proxied_request::is_retryable() const {
  const bool idempotent = route_->kind == routes::repeatability::idempotent;
  return idempotent || is_resumable();
}

bool proxied_request::is_resumable() const {
  return route_->kind == routes::repeatability::event_stream && route_->resumable;
}

bool proxied_request::has_time_to_send() const { return time_remaining() > min_send_time; }

duration proxied_request::time_remaining() const { return deadline_ - shared_.time.now(); }

void proxied_request::monitor_caller() {
  writer_.on_peer_disconnect([this, alive = alive_] {
    if (*alive) {
      caller_left_ = true;
      cancel_exchange();
    }
  });
}

void proxied_request::start_timeout() {
  timer_.expires_after(std::chrono::milliseconds(std::max<std::int64_t>(time_remaining().ms, 0)));
  timer_.async_wait([this, alive = alive_](const boost::system::error_code& error) {
    if (!error && *alive) {
      end_now();
    }
  });
}

void proxied_request::end_now() {
  time_over_ = true;
  cancel_exchange();
}

// A caller that does not read is not waited for; from a server nothing more is taken.
void proxied_request::give_way() {
  gave_way_ = true;
  shared_.metrics->count("hawthornnotch_answers_too_large_total", {{"service", service_}});
  log_event(level::warning, "answer_too_large",
            {{"request_id", request_.id},
             {"server", placement_.server.id},
             {"caller_reads", !writing_},
             {"all_held_bytes", shared_.held.bytes()}});
  if (writing_) {
    writer_.abort();
  } else if (answer_ != nullptr) {
    answer_->cancel();
  }
}

void proxied_request::cancel_exchange() { breaker_->cancel(); }

asio::awaitable<void> proxied_request::send_with_retries() {
  while (!is_aborted() && has_time_to_send() && !is_quarantined() && !version_unavailable_ &&
         !nobody_sends()) {
    dispatch::placement_query query;
    query.service = service_;
    query.prefixes = prefixes_;
    query.target_latency = route_->target_latency;
    query.target_gap = route_->target_gap;
    query.gap_sensitive = table_->is_gap_sensitive(*route_);
    query.expected_events = expected_events_;
    query.time_left = time_remaining();
    query.tried = tried_servers_;
    query.now = shared_.time.now();
    auto chosen = choose_server(query);
    if (!chosen) {
      all_paused_ = chosen.last_reason() == dispatch::placement_failure::all_paused;
      version_unavailable_ =
          chosen.last_reason() == dispatch::placement_failure::no_server_of_version;
      if (all_paused_) {
        record_held_back();
      }
      break;
    }
    if (reached_server_ && !consume_retry()) {
      break;
    }
    const attempt_outcome next = co_await send_attempt(*chosen);
    if (next == attempt_outcome::done) {
      co_return;
    }
    if (next == attempt_outcome::give_up) {
      break;
    }
  }
  co_await finish_without_server();
}

bool proxied_request::is_quarantined() {
  if (!head_sent_) {
    quarantined_ = crashes_.refuses(request_.id, service_, carried_);
  }
  return quarantined_;
}

bool proxied_request::consume_retry() {
  const time_point now = shared_.time.now();
  const dispatch::budget_share share{shared_.peers.member_count(), shared_.peers.disrupted_at()};
  const dispatch::retry_decision decision = shared_.retries.take(service_, share, now);
  log_event(level::info, decision.allowed ? "retry_allowed" : "retry_denied",
            {{"request_id", request_.id},
             {"service", service_},
             {"retries", decision.retries},
             {"allowance", decision.allowance},
             {"requests", decision.requests},
             {"proven_requests", decision.proven_requests},
             {"entry_vms", decision.entry_vms},
             {"account_age_ms", decision.account_age.ms}});
  return decision.allowed;
}

net::exchange_limits proxied_request::limits_for(const dispatch::placement& to) {
  net::exchange_limits limits;
  const duration rest = time_remaining();
  limits.connect_timeout = std::min(server_connect_timeout, rest);
  limits.tcp_user_timeout = server_tcp_user_timeout;
  limits.head_timeout = rest;
  limits.read_timeout = rest;
  const bool streams = route_->kind == routes::repeatability::event_stream;
  limits.body_bytes = streams ? std::numeric_limits<std::uint64_t>::max() : max_response_bytes;
  const bool can_repeat = is_retryable() && possible_executions_ + 1 < route_->max_attempts;
  if (can_repeat && route_->kind == routes::repeatability::idempotent) {
    limits.head_timeout = std::min(rest, route_->target_latency * target_latency_factor);
  }
  if (can_repeat && streams) {
    const duration expected{static_cast<std::int64_t>(to.expected_ms) * expected_latency_factor};
    limits.head_timeout = std::min(rest, std::max(min_first_event_timeout, expected));
    limits.read_timeout = limits.head_timeout;
  }
  limits.cancellation = breaker_;
  limits.request_tag = request_.id;
  limits.may_send = [this] { return server_accepts_work(); };
  limits.is_expected = [this](const net::http_response& head) {
    const response_info details = shared_.wire.decode_answer(head);
    return details.id == request_.id;
  };
  return limits;
}

// While the connection was opened, the caller may have left, the server may have announced that it
// is leaving, full or limited, and the request may have been quarantined.
bool proxied_request::server_accepts_work() {
  caller_left_ = caller_left_ || !writer_.peer_connected();
  if (caller_left_) {
    return false;
  }
  return !is_quarantined() &&
         shared_.dispatcher.may_send(*attempt_, placement_.server, shared_.time.now());
}

asio::awaitable<proxied_request::attempt_outcome> proxied_request::send_attempt(
    const dispatch::placement& to) {
  tried_servers_.push_back(to.server.id);
  placement_ = to;
  log_attempt(to);
  attempt_ = shared_.dispatcher.begin_attempt(to, prefixes_, shared_.time.now());
  shared_.demand.record_sent(service_, to.uncached_tokens, attempt_->sent_at);
  auto opened = co_await open_exchange(to);
  if (!opened) {
    co_return on_attempt_failed(opened.last_reason());
  }
  const attempt_outcome next = co_await deliver_response(**opened);
  co_return next;
}

net::http_request proxied_request::message_for(const dispatch::placement& to) const {
  forward_options options;
  options.server_id = to.server.id;
  options.time_left = time_remaining();
  options.urgency = table_->urgency(*route_, workspace_);
  options.workspace = workspace_ != nullptr ? workspace_->name : "";
  options.fetch_from = to.fetch_from;
  options.resume_after = splitter_.last_id();
  return shared_.wire.encode_request(request_, options);
}

// Nothing was sent over a connection that could not be opened, so another VM may send the request.
asio::awaitable<proxied_request::opened_exchange> proxied_request::open_exchange(
    const dispatch::placement& to) {
  const bool usable = access_.paths.is_usable(to.server);
  const bool cut_off = shared_.paths.is_cut_off(service_);
  if (usable || (!cut_off && !access_.forwards.has_forwarder(service_))) {
    auto opened = co_await open_directly(to);
    const bool unsent = !opened && opened.last_reason().kind == net::net_failure_kind::connect;
    if (!unsent || is_aborted() || !has_time_to_send() ||
        !access_.forwards.has_forwarder(service_)) {
      co_return opened;
    }
  }
  auto forwarded = co_await open_through_peer(to);
  co_return forwarded;
}

asio::awaitable<proxied_request::opened_exchange> proxied_request::open_directly(
    const dispatch::placement& to) {
  sent_directly_ = true;
  const net::exchange_limits limits = limits_for(to);
  event_timeout_ = limits.read_timeout;
  auto opened = co_await shared_.http->open(to.server.address, message_for(to), limits);
  if (opened) {
    access_.paths.record_success(to.server);
  } else if (path_monitor::is_path_failure(opened.last_reason())) {
    access_.paths.record_failure(to.server);
  }
  co_return opened;
}

asio::awaitable<proxied_request::opened_exchange> proxied_request::open_through_peer(
    const dispatch::placement& to) {
  sent_directly_ = false;
  const net::exchange_limits limits = limits_for(to);
  event_timeout_ = limits.read_timeout;
  const forwarded_attempt attempt{request_.id, to.server, time_remaining()};
  auto opened = co_await access_.forwards.open(attempt, message_for(to), limits, forward_refusals_);
  shared_.metrics->count("hawthornnotch_forwards_total",
                         {{"outcome", opened ? "sent" : "failed"}, {"service", service_}});
  co_return opened;
}

bool proxied_request::nobody_sends() const { return forward_refusals_ >= max_forward_refusals; }

proxied_request::attempt_outcome proxied_request::on_attempt_failed(
    const net::net_failure& failure) {
  const bool unsent = !failure.request_may_have_been_sent;
  if (is_aborted()) {
    finish_attempt(dispatch::attempt_end::abandoned);
    possible_executions_ += unsent ? 0 : 1;
    return attempt_outcome::give_up;
  }
  const bool withdrawn = unsent && failure.kind == net::net_failure_kind::cancelled;
  if (withdrawn) {
    finish_attempt(dispatch::attempt_end::abandoned);
    log_event(level::info, "send_withdrawn",
              {{"request_id", request_.id}, {"server", tried_servers_.back()}});
    return attempt_outcome::may_retry;
  }
  if (sent_directly_ && path_monitor::is_path_failure(failure)) {
    access_.paths.record_failure(placement_.server);
  }
  const bool unanswered = attempt_ && !attempt_->first_event_seen;
  if (!unsent && unanswered && failure.kind == net::net_failure_kind::closed) {
    crashes_.on_closed_unanswered(placement_.server, request_.id, carried_);
  }
  count_malformed_answer(shared_, service_, failure);
  finish_attempt(unsent ? dispatch::attempt_end::connect_failed : dispatch::attempt_end::broken);
  log_event(level::info, "send_failed",
            {{"request_id", request_.id},
             {"server", tried_servers_.back()},
             {"why", net::to_string(failure.kind)},
             {"sent", !unsent},
             {"events", events_},
             {"parts", quarantine::to_text(carried_, quarantine::suspect_kind::prompt_part)},
             {"request", quarantine::to_text(carried_, quarantine::suspect_kind::request)},
             {"list_age_ms", shared_.servers.age(shared_.time.now()).value_or(duration{-1}).ms}});
  if (unsent) {
    return attempt_outcome::may_retry;
  }
  reached_server_ = true;
  ++possible_executions_;
  // A stream resumes after its last event; any other response can't be retried once it has begun.
  const bool can_go_on = !head_sent_ || route_->kind == routes::repeatability::event_stream;
  const bool repeat = can_go_on && is_retryable() && possible_executions_ < route_->max_attempts;
  return repeat ? attempt_outcome::may_retry : attempt_outcome::give_up;
}

void proxied_request::finish_attempt(dispatch::attempt_end end) {
  if (attempt_) {
    shared_.dispatcher.end_attempt(*attempt_, end, shared_.time.now());
    attempt_.reset();
  }
}

}  // namespace hawthornnotch::gateway::internal
