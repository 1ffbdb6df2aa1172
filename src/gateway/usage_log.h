// Keeps the log of usage reports in the platform's store for the holder of the duties.
#ifndef HAWTHORNNOTCH_SRC_GATEWAY_USAGE_LOG_H_
#define HAWTHORNNOTCH_SRC_GATEWAY_USAGE_LOG_H_

#include <cstdint>
#include <optional>
#include <string>

#include "gateway_state.h"
#include "hawthornnotch/duties/duty_holder.h"
#include "hawthornnotch/duties/usage_source.h"
#include "hawthornnotch/platform/client.h"
#include "store_sync.h"

namespace hawthornnotch::gateway::internal {

// Reads the log at the beginning of each term, and writes it in transactions that succeed only if
// neither the lease nor the log has changed.
//
// After a failed call it is read again, after a pause: a write whose answer was lost may have
// succeeded.  If the lease's key has changed, the term ends.  Answers to calls of an earlier term
// are ignored.
//
// Ownership: refers to the state, the store, the holder and the source, which outlive it.  Thread
// safety: none.
class usage_log {
 public:
  usage_log(gateway_state& shared, platform::key_value_store& store, duties::duty_holder& holder,
            duties::usage_source& source)
      : shared_(shared), store_(store), holder_(holder), source_(source) {}
  // Starts the next call to the store that is due.
  // \returns the report to send now; none if there is none at the moment.
  std::optional<duties::usage_report> next(const duties::duty_term& term, time_point now);
  void report_ended(const duties::usage_report& report, duties::call_outcome outcome,
                    time_point now) {
    source_.report_ended(report, outcome, now);
  }

 private:
  enum class progress : std::uint8_t { unread, calling, known };

  void read(time_point now);
  void on_read(const result<platform::read_outcome, platform::platform_failure>& answer);
  void write(const duties::duty_term& term, std::string text);
  void on_written(const duties::duty_term& term,
                  const result<platform::transaction_outcome, platform::platform_failure>& answer);
  void read_again(platform::failure_kind reason);

  gateway_state& shared_;
  platform::key_value_store& store_;
  duties::duty_holder& holder_;
  duties::usage_source& source_;
  // The term that the following members belong to.
  std::uint64_t fencing_ = 0;
  progress progress_ = progress::unread;
  // Of the log's key; 0 if there is none.
  std::int64_t revision_ = 0;
  time_point next_read_at_;
  dependency_monitor store_log_{"store_usage_log"};
};

}  // namespace hawthornnotch::gateway::internal

#endif  // HAWTHORNNOTCH_SRC_GATEWAY_USAGE_LOG_H_
