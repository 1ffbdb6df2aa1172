// The claim of one non-idempotent request, from first to last.
#ifndef HAWTHORNNOTCH_SRC_ROUTER_CLAIM_GATE_H_
#define HAWTHORNNOTCH_SRC_ROUTER_CLAIM_GATE_H_

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <optional>

#include "hawthornnotch/claim/claim_service.h"
#include "hawthornnotch/router/classify.h"
#include "hawthornnotch/router/rejection.h"

namespace hawthornnotch::router::internal {

// Owns the claim, if the request's class needs one, and settles it exactly once.
//
// Thread safety: used on the request's strand.
class claim_gate {
 public:
  explicit claim_gate(claim::claim_service& claims) : claims_(claims) {}
  // A claim that nobody settled may have run.
  ~claim_gate();
  claim_gate(const claim_gate&) = delete;
  claim_gate& operator=(const claim_gate&) = delete;

  // Claims the key of a request that has one.
  boost::asio::awaitable<claim::claim_outcome> claim(const classified_request& request);
  [[nodiscard]] bool is_held() const { return token_.has_value(); }
  // For the exchange: right before the first byte.  Null where nothing is claimed.
  [[nodiscard]] std::function<bool()> permission();
  // Settles the claim by what became of the request.
  void settle_answer(unsigned status, std::string_view content_type, std::string_view body);
  void settle_failure(outcome what);

 private:
  claim::claim_service& claims_;
  std::optional<claim::claim_token> token_;
};

// \returns the error for a verdict that is neither owned nor recorded.
std::optional<rejection> rejection_of(const claim::claim_outcome& claim_outcome);

}  // namespace hawthornnotch::router::internal

#endif  // HAWTHORNNOTCH_SRC_ROUTER_CLAIM_GATE_H_
