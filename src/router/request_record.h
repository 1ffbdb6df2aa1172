// What is measured and noted about one request.
#ifndef HAWTHORNNOTCH_SRC_ROUTER_REQUEST_RECORD_H_
#define HAWTHORNNOTCH_SRC_ROUTER_REQUEST_RECORD_H_

#include <optional>
#include <string>

#include "attempt.h"
#include "services.h"

namespace hawthornnotch::router::internal {

// Times, counts, log lines and decisions of one request; tells the scheduler of its tokens.
//
// Thread safety: used on the request's strand.
class request_record final : public progress_listener {
 public:
  request_record(services& shared, const classified_request& request);

  void set_ticket(policy::ticket ticket);
  void on_token(std::uint32_t attempt) override;
  void note(std::string_view step, std::initializer_list<observe::field> fields);
  void note_assigned(const policy::assigned& to);
  void note_failed(const policy::assigned& to, const attempt_failed& broken);
  // Accounts for the request; to be called once, at its end.
  void finish(observe::request_end end, std::string_view why);

 private:
  [[nodiscard]] observe::finished_request summary(observe::request_end end) const;

  services& shared_;
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
