// Claims the idempotency key of one request and settles the claim.
#ifndef HAWTHORNNOTCH_SRC_ROUTER_CLAIM_GUARD_H_
#define HAWTHORNNOTCH_SRC_ROUTER_CLAIM_GUARD_H_

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <optional>

#include "hawthornnotch/claim/claim_service.h"
#include "hawthornnotch/router/classify.h"
#include "hawthornnotch/router/rejection.h"

namespace hawthornnotch::router::internal {

// Owns the claim of a non-idempotent request and settles it exactly once.  For an idempotent
// request it holds nothing and every member except `claim` has no effect.
//
// Failures: a claim that can't be taken is reported by the outcome of `claim`, see `rejection_of`.
// A claim that is still held on destruction is recorded as unknown, since the request may have run.
//
// Thread safety: not thread safe; used on the request's strand.
class claim_guard {
 public:
  explicit claim_guard(claim::claim_service& claims) : claims_(claims) {}
  ~claim_guard();
  claim_guard(const claim_guard&) = delete;
  claim_guard& operator=(const claim_guard&) = delete;

  // Claims the idempotency key of the request, which must have one.
  boost::asio::awaitable<claim::claim_outcome> claim(const classified_request& request);
  [[nodiscard]] bool is_held() const { return token_.has_value(); }
  // \returns a check for the HTTP exchange to run right before it sends the first byte: it records
  // the dispatch and returns whether the request may be sent.  Null if no claim is held.
  [[nodiscard]] std::function<bool()> send_check();
  // Settles the claim with the response, which later requests with the same key receive.
  void settle_answer(unsigned status_code, std::string_view content_type, std::string_view body);
  // Settles the claim of a failed request: releases the key if the request did not run, else
  // records its result as unknown.
  void settle_failure(execution_outcome outcome);

 private:
  claim::claim_service& claims_;
  std::optional<claim::claim_token> token_;
};

// \returns the error for the caller, or nothing if the claim is owned or the recorded answer can be
// replayed.
std::optional<rejection> rejection_of(const claim::claim_outcome& outcome);

}  // namespace hawthornnotch::router::internal

#endif  // HAWTHORNNOTCH_SRC_ROUTER_CLAIM_GUARD_H_
