#include "request_run.h"

#include "hawthornnotch/base/result.h"

namespace hawthornnotch::router::internal {

namespace asio = boost::asio;

namespace {

constexpr std::int64_t ms_per_second = 1000;
// Retry delay for a failed request, when the scheduler gave none.
constexpr duration failure_retry_after{1'000};

reject_code reject_code_for(policy::refusal refusal) {
  switch (refusal) {
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

observe::request_end request_end_for(execution_outcome outcome) {
  switch (outcome) {
    case execution_outcome::not_run:
      return observe::request_end::not_run;
    case execution_outcome::unknown:
      return observe::request_end::unknown;
  }
  return observe::request_end::unknown;
}

}  // namespace

request_run::request_run(router_components& shared, classified_request request,
                         net::response_writer& writer)
    : shared_(shared),
      request_(std::move(request)),
      writer_(writer),
      sink_(writer, request_.id),
      claim_guard_(shared.claims),
      record_(shared, request_) {
  if (const auto* call = std::get_if<model_call>(&request_.call)) {
    model_.emplace(request_, *call, shared_.settings.backend,
                   shared_.time.wall().ms / ms_per_second);
  }
}

asio::awaitable<void> request_run::run() {
  const bool may_run = co_await acquire_claim();
  if (may_run) {
    co_await queue_and_attempt();
  }
}

asio::awaitable<bool> request_run::acquire_claim() {
  if (request_.idempotency_key.empty()) {
    co_return true;
  }
  const claim::claim_outcome outcome = co_await claim_guard_.claim(request_);
  if (const auto error = rejection_of(outcome)) {
    record_.finish(request_end_for(error->outcome), to_string(error->code));
    co_await sink_.reject(*error);
    co_return false;
  }
  if (const auto* answer = std::get_if<claim::recorded_answer>(&outcome)) {
    co_await replay(*answer);
    co_return false;
  }
  record_.record_step("claimed", {});
  co_return true;
}

asio::awaitable<void> request_run::replay(const claim::recorded_answer& answer) {
  if (model_) {
    co_await model_->replay(answer, sink_);
  } else {
    co_await sink_.send_response(answer.status, answer.content_type, answer.body);
  }
  record_.finish(observe::request_end::completed, "recorded_answer");
}

// A claimed request continues without its caller, who may retry and get the recorded response.
void request_run::watch_caller() {
  if (claim_guard_.is_held()) {
    return;
  }
  std::weak_ptr<inbox> events = submission_.events;
  writer_.on_peer_disconnect([events] {
    if (const auto held = events.lock()) {
      held->deliver_caller_left();
    }
  });
}

asio::awaitable<void> request_run::queue_and_attempt() {
  submission_ = shared_.dispatcher.submit(request_.profile, co_await asio::this_coro::executor);
  record_.set_ticket(submission_.ticket);
  watch_caller();
  bool ended = false;
  while (!ended) {
    const inbox_event event = co_await submission_.events->next();
    if (const auto* assignment = std::get_if<policy::assigned>(&event)) {
      ended = co_await on_event(*assignment);
    } else if (const auto* refusal = std::get_if<policy::refused>(&event)) {
      ended = co_await on_event(*refusal);
    } else {
      ended = co_await on_event(std::get<caller_left>(event));
    }
  }
  shared_.dispatcher.forget(submission_.ticket);
}

asio::awaitable<bool> request_run::on_event(const policy::assigned& assignment) {
  record_.record_assignment(assignment);
  const attempt_result attempt_outcome = co_await run_attempt(assignment);
  if (const auto* completed = std::get_if<attempt_completed>(&attempt_outcome)) {
    co_return co_await on_result(assignment, *completed);
  }
  co_return co_await on_result(assignment, std::get<attempt_failed>(attempt_outcome));
}

asio::awaitable<bool> request_run::on_event(const policy::refused& refusal) {
  co_return co_await fail_request(reject_code_for(refusal.reason), refusal.retry_after);
}

asio::awaitable<bool> request_run::on_event(const caller_left& /*left*/) {
  shared_.scheduler.on_caller_gone(submission_.ticket);
  record_.finish(observe::request_end::caller_gone, "caller_gone");
  co_return true;
}

asio::awaitable<attempt_result> request_run::run_attempt(const policy::assigned& assignment) {
  auto cancellation = std::make_shared<net::cancellation_token>();
  submission_.events->on_interrupt([cancellation] { cancellation->cancel(); });
  attempt_context context{shared_.settings.backend,  shared_.http, assignment,
                          claim_guard_.send_check(), cancellation, record_};
  attempt_result attempted;
  if (model_) {
    attempted = co_await model_->run_attempt(std::move(context), sink_);
  } else {
    const auto& call = std::get<service_call>(request_.call);
    attempted = co_await run_service_attempt(request_, call, std::move(context), sink_);
  }
  submission_.events->on_interrupt(nullptr);
  co_return attempted;
}

asio::awaitable<bool> request_run::on_result(const policy::assigned& assignment,
                                             const attempt_completed& completed) {
  claim_guard_.settle_answer(completed.status, completed.content_type, completed.body);
  shared_.scheduler.on_finished(submission_.ticket, assignment.attempt,
                                policy::attempt_end::completed);
  const bool received = !sink_.is_gone();
  record_.finish(received ? observe::request_end::completed : observe::request_end::caller_gone,
                 "answered");
  co_return true;
}

asio::awaitable<bool> request_run::on_result(const policy::assigned& assignment,
                                             const attempt_failed& failure) {
  may_have_run_ = may_have_run_ || failure.may_have_run;
  const bool caller_gone = submission_.events->caller_has_left() || sink_.is_gone();
  if (caller_gone && !claim_guard_.is_held()) {
    const caller_left left;
    co_return co_await on_event(left);
  }
  if (submission_.events->take_preempted() && may_retry()) {
    record_.record_step("preempted", {{"backend_server", assignment.backend_server}});
    shared_.scheduler.on_finished(submission_.ticket, assignment.attempt,
                                  policy::attempt_end::preempted);
    shared_.dispatcher.pump();
    co_return false;
  }
  record_.record_failure(assignment, failure);
  if (!may_retry()) {
    shared_.scheduler.on_finished(submission_.ticket, assignment.attempt, failure.end);
    co_return co_await fail_request(reject_code::backend_failed, failure_retry_after);
  }
  if (shared_.scheduler.retry(submission_.ticket, assignment.attempt, failure.end)) {
    shared_.dispatcher.pump();
    co_return false;
  }
  co_return co_await fail_request(reject_code::backend_failed, failure_retry_after);
}

bool request_run::may_retry() const {
  const bool response_allows = !model_ || model_->is_retryable(sink_);
  const bool claim_allows = !claim_guard_.is_held() || !may_have_run_;
  return response_allows && claim_allows;
}

asio::awaitable<bool> request_run::fail_request(reject_code code,
                                                std::optional<duration> retry_after) {
  const execution_outcome outcome =
      may_have_run_ ? execution_outcome::unknown : execution_outcome::not_run;
  claim_guard_.settle_failure(outcome);
  record_.finish(request_end_for(outcome), to_string(code));
  const rejection error{code, outcome, retry_after, ""};
  co_await sink_.reject(error);
  co_return true;
}

}  // namespace hawthornnotch::router::internal
