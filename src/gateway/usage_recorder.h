// Counts the requests of this VM for the platform's usage reports.
#ifndef HAWTHORNNOTCH_SRC_GATEWAY_USAGE_RECORDER_H_
#define HAWTHORNNOTCH_SRC_GATEWAY_USAGE_RECORDER_H_

#include <boost/asio/any_io_executor.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "gateway_state.h"
#include "hawthornnotch/usage/report_memory.h"
#include "hawthornnotch/usage/usage_ledger.h"
#include "hawthornnotch/usage/usage_reporter.h"
#include "hawthornnotch/usage/window_clock.h"
#include "ticker.h"

namespace hawthornnotch::gateway::internal {

// Ties the ledger, the clock of windows and the memory of reports to the records that the entry VMs
// share, and asks the others for their records after the start of this process.
//
// Ownership: refers to the state, which outlives it.  Thread safety: none.
class usage_recorder final : public usage_counter, public usage::usage_view {
 public:
  // \pre shared.settings.duties
  usage_recorder(gateway_state& shared, const boost::asio::any_io_executor& executor);

  void start() { ticker_.start(); }
  void count(std::string_view workspace) override;
  void update_gauges() const;
  // The decision code for the holder of the duties.
  [[nodiscard]] usage::usage_reporter& reporter() { return reporter_; }

  [[nodiscard]] time_point true_time(time_point now) const override { return clock_.at(now); }
  [[nodiscard]] std::map<std::string, std::int64_t> totals(std::int64_t window,
                                                           time_point now) override {
    return ledger_.totals(window, now);
  }
  [[nodiscard]] time_point running_since(time_point now) const override;
  [[nodiscard]] bool is_complete(time_point now) const override;

 private:
  void tick();
  void read_clocks(time_point now);
  [[nodiscard]] duration fleet_age(time_point now) const;
  void check_records_request(time_point now);

  gateway_state& shared_;
  time_point started_at_;
  usage::window_clock clock_;
  usage::usage_ledger ledger_;
  usage::report_memory memory_;
  usage::usage_reporter reporter_;
  bool clock_was_wrong_ = false;
  ticker ticker_;
};

}  // namespace hawthornnotch::gateway::internal

#endif  // HAWTHORNNOTCH_SRC_GATEWAY_USAGE_RECORDER_H_
