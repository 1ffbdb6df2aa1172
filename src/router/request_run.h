// Runs one caller's request from admission to its final response.
#ifndef HAWTHORNNOTCH_SRC_ROUTER_REQUEST_RUN_H_
#define HAWTHORNNOTCH_SRC_ROUTER_REQUEST_RUN_H_

#include <boost/asio/awaitable.hpp>
#include <optional>
#include <variant>

#include "attempt.h"
#include "claim_guard.h"
#include "model_generation.h"
#include "request_record.h"
#include "router_components.h"

namespace hawthornnotch::router::internal {

// Claims the idempotency key, queues the request, runs and retries attempts, and responds.  Ends in
// exactly one of: the complete response, a `rejection`, or the caller having left.
//
// Failures: a refusal by the scheduler or the claim is returned as its own code; failed attempts
// that are not retried end as `backend_failed`.  A claimed request is not retried once it may have
// run, and it continues if its caller leaves.
// Ownership: lives in the handler's coroutine.  Thread safety: not thread safe; used on the
// request's strand.
class request_run {
 public:
  request_run(router_components& shared, classified_request request, net::response_writer& writer);
  boost::asio::awaitable<void> run();

 private:
  // \returns whether the request may run; otherwise the caller has its response.
  boost::asio::awaitable<bool> acquire_claim();
  boost::asio::awaitable<void> replay(const claim::recorded_answer& answer);
  boost::asio::awaitable<void> queue_and_attempt();
  // The handlers of events and results return whether the request has ended.
  boost::asio::awaitable<bool> on_event(const policy::assigned& assignment);
  boost::asio::awaitable<bool> on_event(const policy::refused& refusal);
  boost::asio::awaitable<bool> on_event(const caller_left& left);
  boost::asio::awaitable<bool> on_result(const policy::assigned& assignment,
                                         const attempt_completed& completed);
  boost::asio::awaitable<bool> on_result(const policy::assigned& assignment,
                                         const attempt_failed& failure);
  boost::asio::awaitable<attempt_result> run_attempt(const policy::assigned& assignment);
  // Responds with the error and settles the claim; always returns true.
  boost::asio::awaitable<bool> fail_request(reject_code code, std::optional<duration> retry_after);
  [[nodiscard]] bool may_retry() const;
  void watch_caller();

  router_components& shared_;
  classified_request request_;
  net::response_writer& writer_;
  caller_sink sink_;
  claim_guard claim_guard_;
  request_record record_;
  decision_dispatcher::submission submission_;
  std::optional<model_generation> model_;
  bool may_have_run_ = false;
};

}  // namespace hawthornnotch::router::internal

#endif  // HAWTHORNNOTCH_SRC_ROUTER_REQUEST_RUN_H_
