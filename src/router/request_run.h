// One caller's request from its admission to its final answer.
#ifndef HAWTHORNNOTCH_SRC_ROUTER_REQUEST_RUN_H_
#define HAWTHORNNOTCH_SRC_ROUTER_REQUEST_RUN_H_

#include <boost/asio/awaitable.hpp>
#include <optional>
#include <variant>

#include "attempt.h"
#include "claim_gate.h"
#include "model_run.h"
#include "request_record.h"
#include "services.h"

namespace hawthornnotch::router::internal {

// Claims, queues, tries, retries and answers.  Ends in exactly one of: the whole answer, a typed
// error, or a caller that has left.
//
// Ownership: lives in the handler's coroutine.  Thread safety: used on the request's strand.
class request_run {
 public:
  request_run(services& shared, classified_request request, net::response_writer& writer);
  boost::asio::awaitable<void> run();

 private:
  boost::asio::awaitable<bool> pass_claim();
  boost::asio::awaitable<void> replay(const claim::recorded_answer& answer);
  boost::asio::awaitable<void> queue_and_try();
  // Each \returns whether the request has ended.
  boost::asio::awaitable<bool> on_event(const policy::assigned& to);
  boost::asio::awaitable<bool> on_event(const policy::refused& why);
  boost::asio::awaitable<bool> on_event(const caller_left& left);
  boost::asio::awaitable<bool> on_result(const policy::assigned& to, const attempt_completed& done);
  boost::asio::awaitable<bool> on_result(const policy::assigned& to, const attempt_failed& broken);
  boost::asio::awaitable<attempt_result> try_at(const policy::assigned& to);
  boost::asio::awaitable<bool> give_up(reject_code code, std::optional<duration> retry_after);
  [[nodiscard]] bool may_retry() const;
  void watch_caller();

  services& shared_;
  classified_request request_;
  net::response_writer& writer_;
  caller_sink sink_;
  claim_gate gate_;
  request_record record_;
  dispatch_desk::place place_;
  std::optional<model_run> model_;
  bool may_have_run_ = false;
};

}  // namespace hawthornnotch::router::internal

#endif  // HAWTHORNNOTCH_SRC_ROUTER_REQUEST_RUN_H_
