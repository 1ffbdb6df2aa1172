// Copies the platform's VM list, announcements and configuration into the membership.
#ifndef HAWTHORNNOTCH_AGENT_PLATFORM_FEED_H_
#define HAWTHORNNOTCH_AGENT_PLATFORM_FEED_H_

#include <boost/asio/awaitable.hpp>
#include <boost/json/object.hpp>
#include <memory>
#include <mutex>
#include <vector>

#include "agent/agent_state.h"
#include "hawthornnotch/base/random.h"
#include "hawthornnotch/config/follower.h"
#include "hawthornnotch/platform/client.h"
#include "hawthornnotch/platform/vm_list.h"

namespace hawthornnotch::agent {

// A few agents watch the platform: they hold two watches and read the VM list often.  The others
// read everything once at start and then at `slow_read_period`, since gossip brings them the
// changes.
//
// A failed read is retried with exponential backoff and jitter, or at `slow_read_period` by agents
// that don't watch and have complete configuration.  A malformed announcement is logged and
// skipped.
//
// Callbacks hold weak references, so they may run after this object is gone.
class platform_feed : public std::enable_shared_from_this<platform_feed> {
 public:
  static std::shared_ptr<platform_feed> create(agent_state& state, platform::client& client,
                                               platform::vm_list_source& list);
  // Runs until the agent stops.
  boost::asio::awaitable<void> run();
  // Ends the watches.  Call it before the platform client is destroyed.
  void stop();
  boost::json::object dump();

 private:
  platform_feed(agent_state& state, platform::client& client, platform::vm_list_source& list);

  void step(bool watching);
  void read_list();
  void read_announcements();
  void watch_announcements(std::int64_t revision);
  void apply_announcements(const std::vector<platform::key_value>& found);
  void follow_configuration(bool watching);
  void apply_configuration();
  // How long to wait before the next read.  Requires `mutex_`.
  duration next_read_delay(bool answered, duration watching_pause);
  void merge_peer_configuration();

  agent_state& state_;
  platform::client& client_;
  platform::vm_list_source& list_;
  config_follower::table_entry table_;
  std::unique_ptr<config_follower> follower_;
  bool following_ = false;
  time_point next_slow_follow_;
  time_point slow_follow_ends_;
  std::uint64_t merged_fact_version_ = 0;

  std::mutex mutex_;
  bool watching_ = false;
  bool reading_list_ = false;
  bool reading_announcements_ = false;
  time_point next_list_;
  time_point next_announcements_;
  std::unique_ptr<platform::watch_handle> watch_;
  // Distinguishes a late failure of an earlier watch from one of the current watch.
  std::uint64_t watch_number_ = 0;
  bool watch_alive_ = false;
  // Failed reads since the last successful one.
  std::uint32_t consecutive_failures_ = 0;
  random_source random_;
  std::uint64_t list_reads_ = 0;
  std::uint64_t failures_ = 0;
};

}  // namespace hawthornnotch::agent

#endif  // HAWTHORNNOTCH_AGENT_PLATFORM_FEED_H_
