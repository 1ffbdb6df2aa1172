#include "claim_gate.h"

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

// How long a caller waits before it asks again for a result that another try may still record.
constexpr duration ask_again{1'000};

reject_code code_of(not_run_reason reason) {
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

void ignore_stored(bool /*stored*/) {}

// Starts a claim and brings its verdict back to the strand of the coroutine.
asio::awaitable<claim::claim_outcome> await_verdict(claim::claim_service& claims,
                                                    claim::claim_request request) {
  const asio::any_io_executor strand = co_await asio::this_coro::executor;
  const auto start = [&claims, &strand](auto handler, claim::claim_request what) {
    auto shared = std::make_shared<decltype(handler)>(std::move(handler));
    claims.claim(std::move(what), [shared, strand](claim::claim_outcome seen) {
      asio::post(strand,
                 [shared, seen = std::move(seen)]() mutable { (*shared)(std::move(seen)); });
    });
  };
  co_return co_await asio::async_initiate<const asio::use_awaitable_t<>,
                                          void(claim::claim_outcome)>(start, asio::use_awaitable,
                                                                      std::move(request));
}

}  // namespace

claim_gate::~claim_gate() {
  if (token_) {
    claims_.record_unknown(*token_);
  }
}

asio::awaitable<claim::claim_outcome> claim_gate::claim(const classified_request& request) {
  claim::claim_request asked{request.profile.workspace, request.idempotency_key,
                             request.fingerprint, request.id};
  claim::claim_outcome claim_outcome = co_await await_verdict(claims_, std::move(asked));
  if (const auto* mine = std::get_if<claim::owned>(&claim_outcome)) {
    token_ = mine->token;
  }
  co_return claim_outcome;
}

std::function<bool()> claim_gate::permission() {
  if (!token_) {
    return nullptr;
  }
  return [this] { return token_ && claims_.begin_dispatch(*token_); };
}

void claim_gate::settle_answer(unsigned code, std::string_view content_type,
                               std::string_view body) {
  if (const auto token = std::exchange(token_, std::nullopt)) {
    claim::recorded_answer answer;
    answer.status = code;
    answer.content_type = std::string(content_type);
    answer.body = std::string(body);
    claims_.record(*token, std::move(answer), ignore_stored);
  }
}

void claim_gate::settle_failure(outcome what) {
  const auto token = std::exchange(token_, std::nullopt);
  if (!token) {
    return;
  }
  if (what == outcome::not_run) {
    claims_.release_unsent(*token, ignore_stored);
  } else {
    claims_.record_unknown(*token);
  }
}

std::optional<rejection> rejection_of(const claim::claim_outcome& claim_outcome) {
  using answer = std::optional<rejection>;
  return std::visit(
      overloaded{
          [](const claim::owned&) -> answer { return std::nullopt; },
          [](const claim::recorded_answer& seen) -> answer {
            if (seen.body_kept) {
              return std::nullopt;
            }
            return rejection{reject_code::answer_not_kept, outcome::unknown, std::nullopt, ""};
          },
          [](const claim::in_progress& seen) -> answer {
            return rejection{reject_code::in_progress, outcome::unknown, seen.retry_after, ""};
          },
          [](const claim::outcome_unknown&) -> answer {
            return rejection{reject_code::outcome_unknown, outcome::unknown, ask_again, ""};
          },
          [](const claim::key_conflict&) -> answer {
            return rejection{reject_code::key_conflict, outcome::not_run, std::nullopt, ""};
          },
          [](const claim::not_run& seen) -> answer {
            return rejection{code_of(seen.reason), outcome::not_run, seen.retry_after, ""};
          },
      },
      claim_outcome);
}

}  // namespace hawthornnotch::router::internal
