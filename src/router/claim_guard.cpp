#include "claim_guard.h"

#include <boost/asio/associated_executor.hpp>
#include <boost/asio/async_result.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <memory>
#include <utility>

#include "hawthornnotch/base/result.h"

namespace hawthornnotch::router::internal {

namespace asio = boost::asio;

namespace {

using claim::not_run_reason;

// Retry delay for a caller whose result another attempt may still record.
constexpr duration unknown_outcome_retry_after{1'000};

reject_code reject_code_for(not_run_reason reason) {
  switch (reason) {
    case not_run_reason::platform_down:
      return reject_code::platform_down;
    case not_run_reason::platform_slow:
      return reject_code::platform_slow;
    case not_run_reason::table_full:
      return reject_code::claim_table_full;
    case not_run_reason::stopping:
      return reject_code::stopping;
  }
  return reject_code::platform_down;
}

void ignore_write_result(bool /*stored*/) {}

// Starts a claim and resumes the coroutine on its own strand with the outcome.
asio::awaitable<claim::claim_outcome> await_claim_outcome(claim::claim_service& claims,
                                                          claim::claim_request request) {
  const asio::any_io_executor strand = co_await asio::this_coro::executor;
  const auto start = [&claims, &strand](auto handler, claim::claim_request pending) {
    auto shared = std::make_shared<decltype(handler)>(std::move(handler));
    claims.claim(std::move(pending), [shared, strand](claim::claim_outcome outcome) {
      asio::post(strand, [shared, outcome = std::move(outcome)]() mutable {
        (*shared)(std::move(outcome));
      });
    });
  };
  co_return co_await asio::async_initiate<const asio::use_awaitable_t<>,
                                          void(claim::claim_outcome)>(start, asio::use_awaitable,
                                                                      std::move(request));
}

}  // namespace

claim_guard::~claim_guard() {
  if (token_) {
    claims_.record_unknown(*token_);
  }
}

asio::awaitable<claim::claim_outcome> claim_guard::claim(const classified_request& request) {
  claim::claim_request key_claim{request.profile.workspace, request.idempotency_key,
                                 request.fingerprint, request.id};
  claim::claim_outcome outcome = co_await await_claim_outcome(claims_, std::move(key_claim));
  if (const auto* owned = std::get_if<claim::owned>(&outcome)) {
    token_ = owned->token;
  }
  co_return outcome;
}

std::function<bool()> claim_guard::send_check() {
  if (!token_) {
    return nullptr;
  }
  return [this] { return token_ && claims_.begin_dispatch(*token_); };
}

void claim_guard::settle_answer(unsigned status_code, std::string_view content_type,
                                std::string_view body) {
  if (const auto token = std::exchange(token_, std::nullopt)) {
    claim::recorded_answer answer;
    answer.status = status_code;
    answer.content_type = std::string(content_type);
    answer.body = std::string(body);
    claims_.record(*token, std::move(answer), ignore_write_result);
  }
}

void claim_guard::settle_failure(execution_outcome outcome) {
  const auto token = std::exchange(token_, std::nullopt);
  if (!token) {
    return;
  }
  if (outcome == execution_outcome::not_run) {
    claims_.release_unsent(*token, ignore_write_result);
  } else {
    claims_.record_unknown(*token);
  }
}

std::optional<rejection> rejection_of(const claim::claim_outcome& outcome) {
  using maybe_rejection = std::optional<rejection>;
  return std::visit(overloaded{
                        [](const claim::owned&) -> maybe_rejection { return std::nullopt; },
                        [](const claim::recorded_answer& recorded) -> maybe_rejection {
                          if (recorded.body_kept) {
                            return std::nullopt;
                          }
                          return rejection{reject_code::answer_not_kept, execution_outcome::unknown,
                                           std::nullopt, ""};
                        },
                        [](const claim::in_progress& running) -> maybe_rejection {
                          return rejection{reject_code::in_progress, execution_outcome::unknown,
                                           running.retry_after, ""};
                        },
                        [](const claim::outcome_unknown&) -> maybe_rejection {
                          return rejection{reject_code::outcome_unknown, execution_outcome::unknown,
                                           unknown_outcome_retry_after, ""};
                        },
                        [](const claim::key_conflict&) -> maybe_rejection {
                          return rejection{reject_code::key_conflict, execution_outcome::not_run,
                                           std::nullopt, ""};
                        },
                        [](const claim::not_run& failure) -> maybe_rejection {
                          return rejection{reject_code_for(failure.reason),
                                           execution_outcome::not_run, failure.retry_after, ""};
                        },
                    },
                    outcome);
}

}  // namespace hawthornnotch::router::internal
