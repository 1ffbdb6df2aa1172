// Metrics, log lines and decision steps of one request.
#ifndef HAWTHORNNOTCH_SRC_ROUTER_REQUEST_RECORD_H_
#define HAWTHORNNOTCH_SRC_ROUTER_REQUEST_RECORD_H_

#include <optional>
#include <string>

#include "attempt.h"
#include "router_components.h"

namespace hawthornnotch::router::internal {

// Measures one request, logs its failures and its end, records its steps for /explain/, and reports
// its tokens to the scheduler.
//
// Thread safety: not thread safe; used on the request's strand.
class request_record final : public progress_listener {
 public:
  request_record(router_components& shared, const classified_request& request);

  // Sets the ticket under which the scheduler knows the request.
  void set_ticket(policy::ticket ticket);
  void on_token(std::uint32_t attempt) override;
  // Adds a step for /explain/.
  void record_step(std::string_view step, std::initializer_list<observe::field> fields);
  void record_assignment(const policy::assigned& assignment);
  void record_failure(const policy::assigned& assignment, const attempt_failed& failure);
  // Records the end of the request in metrics, log and steps.  Call once.
  void finish(observe::request_end end, std::string_view reason);

 private:
  [[nodiscard]] observe::finished_request summary(observe::request_end end) const;

  router_components& shared_;
  const classified_request& request_;
  policy::ticket ticket_ = 0;
  time_point arrived_;
  std::optional<time_point> assigned_;
  std::optional<time_point> first_token_;
  time_point last_token_;
  std::uint64_t tokens_ = 0;
  std::uint32_t attempts_ = 0;
  std::uint32_t token_attempt_ = 0;
  std::string backend_server_;
};

}  // namespace hawthornnotch::router::internal

#endif  // HAWTHORNNOTCH_SRC_ROUTER_REQUEST_RECORD_H_
