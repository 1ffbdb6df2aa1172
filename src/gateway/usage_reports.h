// Connects the decisions about usage reports with the holder of the duties.
#ifndef HAWTHORNNOTCH_SRC_GATEWAY_USAGE_REPORTS_H_
#define HAWTHORNNOTCH_SRC_GATEWAY_USAGE_REPORTS_H_

#include <cstdint>
#include <optional>
#include <string>

#include "hawthornnotch/duties/usage_source.h"
#include "hawthornnotch/relay/store_era.h"
#include "hawthornnotch/usage/usage_reporter.h"

namespace hawthornnotch::gateway::internal {

// Ownership: refers to the reporter and the era, which outlive it.  Thread safety: none.
class usage_reports final : public duties::usage_source {
 public:
  usage_reports(usage::usage_reporter& reporter, const relay::store_era& era)
      : reporter_(reporter), era_(era) {}

  void log_read(const std::optional<std::string>& text, time_point now) override;
  [[nodiscard]] duties::usage_step next(time_point now) override;
  void log_written(time_point now) override;
  void report_ended(const duties::usage_report& report, duties::call_outcome outcome,
                    time_point now) override;

 private:
  usage::usage_reporter& reporter_;
  const relay::store_era& era_;
  // Of the last step that was given out.
  std::uint64_t step_ = 0;
};

}  // namespace hawthornnotch::gateway::internal

#endif  // HAWTHORNNOTCH_SRC_GATEWAY_USAGE_REPORTS_H_
