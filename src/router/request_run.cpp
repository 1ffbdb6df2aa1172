#include "request_run.h"

#include "hawthornnotch/base/result.h"

namespace hawthornnotch::router::internal {

namespace asio = boost::asio;

namespace {

constexpr std::int64_t ms_per_second = 1000;
// When a caller may come back after its request was given up on without a measured drain.
constexpr duration after_failure{1'000};

reject_code code_of(policy::refusal reason) {
  switch (reason) {
    case policy::refusal::no_backend_server:
      return reject_code::no_backend_server;
    case policy::refusal::workspace_rate:
      return reject_code::workspace_rate;
    case policy::refusal::workspace_queue:
      return reject_code::workspace_queue;
    case policy::refusal::queue_full:
      return reject_code::queue_full;
    case policy::refusal::queue_limit_passed:
      return reject_code::queue_limit_passed;
    case policy::refusal::retry_budget:
      return reject_code::retry_budget;
  }
  return reject_code::queue_full;
}

observe::request_end end_of(outcome what) {
  switch (what) {
    case outcome::not_run:
      return observe::request_end::not_run;
    case outcome::unknown:
      return observe::request_end::unknown;
  }
  return observe::request_end::unknown;
}

}  // namespace

request_run::request_run(services& shared, classified_request request, net::response_writer& writer)
    : shared_(shared),
      request_(std::move(request)),
      writer_(writer),
      sink_(writer, request_.id),
      gate_(shared.claims),
      record_(shared, request_) {
  if (const auto* call = std::get_if<model_call>(&request_.call)) {
    model_.emplace(request_, *call, shared_.settings.backend,
                   shared_.time.wall().ms / ms_per_second);
  }
}

asio::awaitable<void> request_run::run() {
  const bool may_run = co_await pass_claim();
  if (may_run) {
    co_await queue_and_try();
  }
}

asio::awaitable<bool> request_run::pass_claim() {
  if (request_.idempotency_key.empty()) {
    co_return true;
  }
  const claim::claim_outcome claim_outcome = co_await gate_.claim(request_);
  if (const auto reason = rejection_of(claim_outcome)) {
    record_.finish(end_of(reason->what), to_string(reason->code));
    co_await sink_.reject(*reason);
    co_return false;
  }
  if (const auto* answer = std::get_if<claim::recorded_answer>(&claim_outcome)) {
    co_await replay(*answer);
    co_return false;
  }
  record_.note("claimed", {});
  co_return true;
}

asio::awaitable<void> request_run::replay(const claim::recorded_answer& answer) {
  if (model_) {
    co_await model_->replay(answer, sink_);
  } else {
    co_await sink_.send_whole(answer.status, answer.content_type, answer.body);
  }
  record_.finish(observe::request_end::completed, "recorded_answer");
}

// A claimed request runs on without its caller, who may come back for the recorded answer.
void request_run::watch_caller() {
  if (gate_.is_held()) {
    return;
  }
  std::weak_ptr<inbox> events = place_.events;
  writer_.on_peer_disconnect([events] {
    if (const auto held = events.lock()) {
      held->note_caller_left();
    }
  });
}

asio::awaitable<void> request_run::queue_and_try() {
  place_ = shared_.desk.submit(request_.profile, co_await asio::this_coro::executor);
  record_.set_ticket(place_.ticket);
  watch_caller();
  bool ended = false;
  while (!ended) {
    const inbox_event event = co_await place_.events->next();
    if (const auto* to = std::get_if<policy::assigned>(&event)) {
      ended = co_await on_event(*to);
    } else if (const auto* reason = std::get_if<policy::refused>(&event)) {
      ended = co_await on_event(*reason);
    } else {
      ended = co_await on_event(std::get<caller_left>(event));
    }
  }
  shared_.desk.forget(place_.ticket);
}

asio::awaitable<bool> request_run::on_event(const policy::assigned& to) {
  record_.note_assigned(to);
  const attempt_result outcome_of_try = co_await try_at(to);
  if (const auto* done = std::get_if<attempt_completed>(&outcome_of_try)) {
    co_return co_await on_result(to, *done);
  }
  co_return co_await on_result(to, std::get<attempt_failed>(outcome_of_try));
}

asio::awaitable<bool> request_run::on_event(const policy::refused& reason) {
  co_return co_await give_up(code_of(reason.reason), reason.retry_after);
}

asio::awaitable<bool> request_run::on_event(const caller_left& /*left*/) {
  shared_.scheduler.on_caller_gone(place_.ticket);
  record_.finish(observe::request_end::caller_gone, "caller_gone");
  co_return true;
}

asio::awaitable<attempt_result> request_run::try_at(const policy::assigned& to) {
  auto cancellation = std::make_shared<net::cancellation_token>();
  place_.events->on_interrupt([cancellation] { cancellation->cancel(); });
  attempt_context context{shared_.settings.backend, shared_.http, to,
                          gate_.permission(),       cancellation, record_};
  attempt_result seen;
  if (model_) {
    seen = co_await model_->attempt(std::move(context), sink_);
  } else {
    const auto& call = std::get<service_call>(request_.call);
    seen = co_await try_service(request_, call, std::move(context), sink_);
  }
  place_.events->on_interrupt(nullptr);
  co_return seen;
}

asio::awaitable<bool> request_run::on_result(const policy::assigned& to,
                                             const attempt_completed& done) {
  gate_.settle_answer(done.status, done.content_type, done.body);
  shared_.scheduler.on_finished(place_.ticket, to.attempt, policy::attempt_end::completed);
  const bool received = !sink_.is_gone();
  record_.finish(received ? observe::request_end::completed : observe::request_end::caller_gone,
                 "answered");
  co_return true;
}

asio::awaitable<bool> request_run::on_result(const policy::assigned& to,
                                             const attempt_failed& broken) {
  may_have_run_ = may_have_run_ || broken.may_have_run;
  const bool caller_gone = place_.events->caller_has_left() || sink_.is_gone();
  if (caller_gone && !gate_.is_held()) {
    const caller_left left;
    co_return co_await on_event(left);
  }
  if (place_.events->take_preempted() && may_retry()) {
    record_.note("preempted", {{"backend_server", to.backend_server}});
    shared_.scheduler.on_finished(place_.ticket, to.attempt, policy::attempt_end::preempted);
    shared_.desk.pump();
    co_return false;
  }
  record_.note_failed(to, broken);
  if (!may_retry()) {
    shared_.scheduler.on_finished(place_.ticket, to.attempt, broken.end);
    co_return co_await give_up(reject_code::backend_failed, after_failure);
  }
  if (shared_.scheduler.retry(place_.ticket, to.attempt, broken.end)) {
    shared_.desk.pump();
    co_return false;
  }
  co_return co_await give_up(reject_code::backend_failed, after_failure);
}

bool request_run::may_retry() const {
  const bool answer_allows = !model_ || model_->may_be_tried_again(sink_);
  const bool claim_allows = !gate_.is_held() || !may_have_run_;
  return answer_allows && claim_allows;
}

asio::awaitable<bool> request_run::give_up(reject_code code, std::optional<duration> retry_after) {
  const outcome what = may_have_run_ ? outcome::unknown : outcome::not_run;
  gate_.settle_failure(what);
  record_.finish(end_of(what), to_string(code));
  const rejection reason{code, what, retry_after, ""};
  co_await sink_.reject(reason);
  co_return true;
}

}  // namespace hawthornnotch::router::internal
