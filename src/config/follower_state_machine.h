// State machine that implements config_follower.
#ifndef HAWTHORNNOTCH_CONFIG_FOLLOWER_STATE_MACHINE_H_
#define HAWTHORNNOTCH_CONFIG_FOLLOWER_STATE_MACHINE_H_

#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>

#include "hawthornnotch/base/random.h"
#include "hawthornnotch/config/follower.h"
#include "hawthornnotch/config/head.h"

namespace hawthornnotch {

class config_follower::state_machine
    : public std::enable_shared_from_this<config_follower::state_machine> {
 public:
  state_machine(follower_settings settings, platform::client& platform, const clock& time,
                std::uint64_t seed, table_entry& table, std::function<void()> changed);

  void start();
  void stop();
  bool merge(const workspace_table_update& from);
  [[nodiscard]] bool ready() const;
  [[nodiscard]] workspace_table_update table() const;
  void tick();
  [[nodiscard]] follower_view view() const;

 private:
  using read_result = result<platform::read_outcome, platform::platform_failure>;
  using watch_result = result<std::vector<platform::watch_event>, platform::platform_failure>;

  void read_head();
  void on_head_read(const read_result& response);
  void apply_head(const std::vector<platform::key_value>& found);
  void start_watch(std::int64_t revision);
  void on_watch(std::uint64_t watch_id, const watch_result& response);
  void read_missing();
  void on_version_read(const std::string& workspace, const read_result& response);
  void apply_version(const std::string& workspace, const std::vector<platform::key_value>& found);
  // \returns true if the table changed.
  bool merge_version(const workspace_parameters& candidate);
  // Publishes a changed table; \returns true if `changed_` must be called.
  bool publish();
  void back_off();
  duration with_jitter(duration mean);

  const follower_settings settings_;
  platform::client& platform_;
  const clock& time_;
  table_entry& published_table_;
  const std::function<void()> changed_;

  mutable std::mutex mutex_;
  random_source random_;
  bool running_ = false;
  workspace_table table_;
  bool dirty_ = false;
  bool ready_ = false;
  bool head_received_ = false;
  // Versions named by the head that are newer than the table's, by workspace.
  std::map<std::string, config_pointer> missing_;
  std::set<std::string> pending_reads_;
  bool head_read_pending_ = false;
  time_point next_head_read_;
  time_point next_version_read_;
  duration backoff_;
  std::unique_ptr<platform::watch_handle> watch_;
  // Id of the current watch; events of earlier watches are ignored.
  std::uint64_t watch_id_ = 0;
  bool watching_ = false;
  follower_view counters_;
};

}  // namespace hawthornnotch

#endif  // HAWTHORNNOTCH_CONFIG_FOLLOWER_STATE_MACHINE_H_
