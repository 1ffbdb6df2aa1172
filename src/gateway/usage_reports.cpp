#include "usage_reports.h"

#include <utility>
#include <variant>

#include "hawthornnotch/base/result.h"

namespace hawthornnotch::gateway::internal {

void usage_reports::log_read(const std::optional<std::string>& text, time_point now) {
  reporter_.begin_term(text.value_or(""), era_.current(), now);
}

duties::usage_step usage_reports::next(time_point now) {
  usage::report_step step = reporter_.next(now);
  return std::visit(overloaded{
                        [](const usage::idle&) -> duties::usage_step { return duties::idle{}; },
                        // The log is read in each term.  It names an era that this VM has not
                        // learned of; with the next answer of the store that does, the term ends.
                        [](const usage::read_log&) -> duties::usage_step { return duties::idle{}; },
                        [this](usage::fix_log& fix) -> duties::usage_step {
                          step_ = fix.step;
                          return duties::fix_log{std::move(fix.text)};
                        },
                        [this](usage::send_report& send) -> duties::usage_step {
                          step_ = send.step;
                          return duties::send_report{std::move(send.report)};
                        },
                    },
                    step);
}

void usage_reports::log_written(time_point now) { reporter_.on_fixed(step_, true, now); }

void usage_reports::report_ended(const duties::usage_report& /*report*/,
                                 duties::call_outcome outcome, time_point now) {
  reporter_.on_sent(step_, outcome, now);
}

}  // namespace hawthornnotch::gateway::internal
