#include "request_run.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <limits>
#include <utility>

#include "hawthornnotch/base/hash.h"
#include "hawthornnotch/observe/log.h"

namespace hawthornnotch::gateway::internal {

namespace asio = boost::asio;
using observe::level;
using observe::log_event;

namespace {

/// Longest time for a connection to a backend server to stand.
constexpr duration connect_timeout{300};
/// Bytes that a server does not acknowledge for this long end the connection.
constexpr duration tcp_user_timeout{1'500};
/// The least that is waited for a stream's next event before it goes on elsewhere.
constexpr duration least_first_event{2'500};
/// How often the expected time to the first event may pass before the server counts as silent.
constexpr std::int64_t expected_factor = 4;
/// An idempotent request is sent elsewhere when its target latency has passed this often.
constexpr std::int64_t target_factor = 2;
/// Less than this left is too little to send a request.
constexpr duration least_send_time{20};
/// Longest answer that is no stream, in bytes.
constexpr std::uint64_t most_answer_bytes = 64 * 1024 * 1024;
/// How often a request that waits for the first configuration looks for it.
constexpr std::chrono::milliseconds knowledge_period{10};

}  // namespace

request_run::request_run(state& shared, knowledge& known, net::response_writer& writer,
                         const asio::any_io_executor& executor)
    : shared_(shared),
      known_(known),
      writer_(writer),
      timer_(executor),
      breaker_(std::make_shared<net::cancellation_token>()),
      alive_(std::make_shared<bool>(true)),
      arrived_(shared.time.now()),
      splitter_(std::nullopt) {}

request_run::~request_run() {
  *alive_ = false;
  writer_.on_peer_disconnect(nullptr);
}

asio::awaitable<void> request_run::run(net::http_request received) {
  request_ = shared_.wire.decode_request(std::move(received));
  watch_caller();
  co_await await_knowledge();
  std::optional<own_answer> refusal = resolve();
  if (!refusal && comes_too_late()) {
    refusal = own_answer::stopping;
  }
  if (refusal) {
    co_await refuse(*refusal);
  } else {
    prepare();
    watch_time();
    shared_.retries.on_request(service_, arrived_);
    co_await send_until_answered();
  }
  timer_.cancel();
  log_end();
}

asio::awaitable<void> request_run::await_knowledge() {
  const time_point end = arrived_ + shared_.settings.startup_hold;
  while (!shared_.knows_enough() && !caller_left_ && shared_.time.now() < end) {
    timer_.expires_after(knowledge_period);
    co_await timer_.async_wait(asio::as_tuple(asio::use_awaitable));
  }
}

std::optional<own_answer> request_run::resolve() {
  using refusal = std::optional<own_answer>;
  table_ = shared_.config.current();
  if (!table_) {
    return own_answer::no_configuration;
  }
  const auto match = table_->find({request_.host, request_.path, request_.api_key});
  return std::visit(
      overloaded{
          [&](const routes::matched& what) -> refusal {
            route_ = what.found;
            workspace_ = what.workspace;
            return std::nullopt;
          },
          [](const routes::no_such_route&) -> refusal { return own_answer::no_route; },
          [](const routes::unknown_api_key&) -> refusal { return own_answer::unknown_api_key; },
      },
      match);
}

// A stream that begins after the balancer has noticed the stop may not end within the grace time.
bool request_run::comes_too_late() const {
  return shared_.past_balancer_notice && route_->kind == routes::repeatability::event_stream;
}

void request_run::prepare() {
  constexpr std::uint64_t draws = 10'000;
  const std::uint64_t drawn = stable_hash(request_.id) % draws;
  const double draw = static_cast<double>(drawn) / static_cast<double>(draws);
  service_ = routes::route_table::pick_service(*route_, draw);
  const routes::service_definition* service = table_->service(service_);
  if (service != nullptr && service->engine) {
    prefixes_ = dispatch::prefixes_of(request_.prompt);
    const std::uint32_t per_event = std::max(1U, service->engine->tokens_per_event);
    expected_events_ = static_cast<double>(request_.prompt.expected_output_tokens) / per_event;
  }
  const duration allowed =
      request_.time_left ? std::min(*request_.time_left, route_->timeout) : route_->timeout;
  end_at_ = arrived_ + allowed;
  splitter_ = event_splitter(request_.last_event_id);
}

bool request_run::may_run_again() const {
  const bool idempotent = route_->kind == routes::repeatability::idempotent;
  const bool resumable = route_->kind == routes::repeatability::event_stream && route_->resumable;
  return idempotent || resumable;
}

bool request_run::time_to_send() const { return left() > least_send_time; }

duration request_run::left() const { return end_at_ - shared_.time.now(); }

void request_run::watch_caller() {
  writer_.on_peer_disconnect([this, alive = alive_] {
    if (*alive) {
      caller_left_ = true;
      break_off();
    }
  });
}

void request_run::watch_time() {
  timer_.expires_after(std::chrono::milliseconds(std::max<std::int64_t>(left().ms, 0)));
  timer_.async_wait([this, alive = alive_](const boost::system::error_code& error) {
    if (!error && *alive) {
      time_over_ = true;
      break_off();
    }
  });
}

void request_run::break_off() { breaker_->cancel(); }

asio::awaitable<void> request_run::send_until_answered() {
  while (!over() && time_to_send()) {
    dispatch::placement_query query;
    query.service = service_;
    query.prefixes = prefixes_;
    query.target_latency = route_->target_latency;
    query.target_gap = route_->target_gap;
    query.gap_sensitive = table_->is_gap_sensitive(*route_);
    query.expected_events = expected_events_;
    query.time_left = left();
    query.tried = tried_;
    query.now = shared_.time.now();
    auto chosen = shared_.dispatcher.choose(query);
    if (!chosen) {
      all_paused_ = chosen.last_reason() == dispatch::placement_failure::all_paused;
      break;
    }
    if (arrived_somewhere_ && !repeat_allowed()) {
      break;
    }
    const next_step next = co_await send_once(*chosen);
    if (next == next_step::done) {
      co_return;
    }
    if (next == next_step::must_end) {
      break;
    }
  }
  co_await answer_without_server();
}

bool request_run::repeat_allowed() {
  const time_point now = shared_.time.now();
  const bool allowed = shared_.retries.take(service_, shared_.peers.live_count(now), now);
  if (!allowed) {
    log_event(level::info, "retry_denied", {{"request_id", request_.id}, {"service", service_}});
  }
  return allowed;
}

net::exchange_limits request_run::limits_for(const dispatch::placement& to) const {
  net::exchange_limits limits;
  const duration rest = left();
  limits.connect_timeout = std::min(connect_timeout, rest);
  limits.tcp_user_timeout = tcp_user_timeout;
  limits.head_timeout = rest;
  limits.read_timeout = rest;
  const bool streams = route_->kind == routes::repeatability::event_stream;
  limits.body_bytes = streams ? std::numeric_limits<std::uint64_t>::max() : most_answer_bytes;
  const bool can_repeat = may_run_again() && runs_ + 1 < route_->max_attempts;
  if (can_repeat && route_->kind == routes::repeatability::idempotent) {
    limits.head_timeout = std::min(rest, route_->target_latency * target_factor);
  }
  if (can_repeat && streams) {
    const duration expected{static_cast<std::int64_t>(to.expected_ms) * expected_factor};
    limits.head_timeout = std::min(rest, std::max(least_first_event, expected));
    limits.read_timeout = limits.head_timeout;
  }
  limits.cancellation = breaker_;
  limits.may_send = [this] { return may_send_now(); };
  limits.is_expected = [this](const net::http_response& head) {
    const response_info facts = shared_.wire.decode_answer(head);
    return facts.id == request_.id;
  };
  return limits;
}

// While the connection was made, the server may have said that it leaves or is full.
bool request_run::may_send_now() const {
  return shared_.dispatcher.accepts_requests(chosen_.server, shared_.time.now());
}

asio::awaitable<request_run::next_step> request_run::send_once(const dispatch::placement& to) {
  tried_.push_back(to.server.id);
  chosen_ = to;
  log_sending(to);
  forward_options order;
  order.server_id = to.server.id;
  order.time_left = left();
  order.urgency = table_->urgency(*route_, workspace_);
  order.workspace = workspace_ != nullptr ? workspace_->name : "";
  order.fetch_from = to.fetch_from;
  order.resume_after = splitter_.last_id();
  net::http_request message = shared_.wire.encode_request(request_, order);
  sending_ = shared_.dispatcher.begin_attempt(to, prefixes_, shared_.time.now());
  net::exchange_limits limits = limits_for(to);
  event_timeout_ = limits.read_timeout;
  auto opened = co_await shared_.http->open(to.server.address, std::move(message), limits);
  if (!opened) {
    co_return after_failure(opened.last_reason());
  }
  const next_step next = co_await deliver(**opened);
  co_return next;
}

request_run::next_step request_run::after_failure(const net::net_failure& why) {
  const bool unsent = !why.request_may_have_been_sent;
  if (over()) {
    finish_sending(dispatch::attempt_end::abandoned);
    runs_ += unsent ? 0 : 1;
    return next_step::must_end;
  }
  const bool withdrawn = unsent && why.kind == net::net_failure_kind::cancelled;
  if (withdrawn) {
    finish_sending(dispatch::attempt_end::abandoned);
    log_event(level::info, "send_withdrawn",
              {{"request_id", request_.id}, {"server", tried_.back()}});
    return next_step::may_repeat;
  }
  finish_sending(unsent ? dispatch::attempt_end::connect_failed : dispatch::attempt_end::broken);
  log_event(level::info, "send_failed",
            {{"request_id", request_.id},
             {"server", tried_.back()},
             {"why", net::to_string(why.kind)},
             {"sent", !unsent},
             {"events", events_},
             {"list_age_ms", shared_.servers.age(shared_.time.now()).value_or(duration{-1}).ms}});
  if (unsent) {
    return next_step::may_repeat;
  }
  arrived_somewhere_ = true;
  ++runs_;
  // A stream goes on behind its last event; any other answer can't be mended once it has begun.
  const bool can_go_on = !head_sent_ || route_->kind == routes::repeatability::event_stream;
  const bool repeat = can_go_on && may_run_again() && runs_ < route_->max_attempts;
  return repeat ? next_step::may_repeat : next_step::must_end;
}

void request_run::finish_sending(dispatch::attempt_end end) {
  if (sending_) {
    shared_.dispatcher.end_attempt(*sending_, end, shared_.time.now());
    sending_.reset();
  }
}

void request_run::log_sending(const dispatch::placement& to) const {
  const time_point now = shared_.time.now();
  log_event(
      level::info, "request_sent",
      {{"request_id", request_.id},
       {"service", service_},
       {"server", to.server.id},
       {"send", tried_.size()},
       {"urgency", table_->urgency(*route_, workspace_)},
       {"resume_after", splitter_.last_id().value_or(0)},
       {"rank", to.rank},
       {"copies_prompt", to.fetch_from.has_value()},
       {"kept_for_streams", to.reserved_for_streams},
       {"candidates", to.candidates},
       {"unread_tokens", to.uncached_tokens},
       {"server_running", to.running},
       {"expected_ms", static_cast<std::int64_t>(to.expected_ms)},
       {"loss", to.loss},
       {"time_left_ms", left().ms},
       {"list_revision", shared_.servers.newest() ? shared_.servers.newest()->version.revision : 0},
       {"list_age_ms", shared_.servers.age(now).value_or(duration{-1}).ms}});
}

void request_run::log_end() {
  const duration total = shared_.time.now() - arrived_;
  const std::string_view route = route_ != nullptr ? std::string_view(route_->name) : "";
  shared_.metrics->count("hawthornnotch_requests_total",
                         {{"outcome", outcome_}, {"service", service_}});
  shared_.metrics->time("hawthornnotch_request_ms", {{"service", service_}},
                        static_cast<double>(total.ms));
  if (first_event_after_) {
    shared_.metrics->time("hawthornnotch_first_event_ms", {{"service", service_}},
                          static_cast<double>(first_event_after_->ms));
  }
  log_event(level::info, "request",
            {{"request_id", request_.id},
             {"route", route},
             {"workspace", workspace_ != nullptr ? std::string_view(workspace_->name) : ""},
             {"service", service_},
             {"server", tried_.empty() ? std::string_view() : std::string_view(tried_.back())},
             {"outcome", outcome_},
             {"status", status_},
             {"sends", tried_.size()},
             {"events", events_},
             {"prompt_tokens", request_.prompt.prompt_tokens},
             {"max_output_tokens", request_.prompt.max_output_tokens},
             {"expected_ms", static_cast<std::int64_t>(chosen_.expected_ms)},
             {"server_running", chosen_.running},
             {"reported_running", load_ ? static_cast<std::int64_t>(load_->running) : -1},
             {"reported_waiting", load_ ? static_cast<std::int64_t>(load_->waiting) : -1},
             {"rank", chosen_.rank},
             {"first_ms", first_event_after_.value_or(duration{-1}).ms},
             {"longest_gap_ms", longest_gap_.ms},
             {"total_ms", total.ms},
             {"config_version", table_ ? table_->version() : 0}});
}

}  // namespace hawthornnotch::gateway::internal
