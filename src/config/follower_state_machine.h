// The state machine behind config_follower.
#ifndef HAWTHORNNOTCH_CONFIG_FOLLOWER_ENGINE_H_
#define HAWTHORNNOTCH_CONFIG_FOLLOWER_ENGINE_H_

#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>

#include "hawthornnotch/base/random.h"
#include "hawthornnotch/config/follower.h"
#include "hawthornnotch/config/head.h"

namespace hawthornnotch {

class config_follower::engine : public std::enable_shared_from_this<config_follower::engine> {
 public:
  engine(follower_settings settings, platform::client& platform, const clock& time,
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
  void on_head_read(const read_result& seen);
  void take_head(const std::vector<platform::key_value>& found);
  void begin_watch(std::int64_t revision);
  void on_watch(std::uint64_t number, const watch_result& seen);
  void read_missing();
  void on_version_read(const std::string& workspace, const read_result& seen);
  void take_version(const std::string& workspace, const std::vector<platform::key_value>& found);
  // \returns true if the table changed.
  bool apply(const workspace_parameters& offered);
  // Posts a changed table; \returns true if observers are to be told.
  bool publish();
  void back_off();
  duration jittered(duration mean);

  const follower_settings settings_;
  platform::client& platform_;
  const clock& time_;
  table_entry& posted_;
  const std::function<void()> changed_;

  mutable std::mutex mutex_;
  random_source random_;
  bool running_ = false;
  workspace_table table_;
  bool dirty_ = false;
  bool ready_ = false;
  bool have_head_ = false;
  // Versions that the head names and that are newer than the table's.
  std::map<std::string, config_pointer> missing_;
  std::set<std::string> reading_;
  bool reading_head_ = false;
  time_point next_head_read_;
  time_point next_version_read_;
  duration backoff_;
  std::unique_ptr<platform::watch_handle> watch_;
  // Number of the current watch; events of earlier ones are ignored.
  std::uint64_t watch_number_ = 0;
  bool watching_ = false;
  follower_view totals_;
};

}  // namespace hawthornnotch

#endif  // HAWTHORNNOTCH_CONFIG_FOLLOWER_ENGINE_H_
