// Brings the platform's list, announcements and configuration into the membership.
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

// The few agents that watch hold two watches and read the list often; the others read everything
// once at their start and then only at the slow period.  Callbacks may outlive the handle.
class platform_feed : public std::enable_shared_from_this<platform_feed> {
 public:
  static std::shared_ptr<platform_feed> create(agent_board& board, platform::client& client,
                                               platform::vm_list_source& list);
  // Runs until the agent stops.
  boost::asio::awaitable<void> run();
  // Ends watches; to be called before the clients go.
  void stop();
  boost::json::object dump();

 private:
  platform_feed(agent_board& board, platform::client& client, platform::vm_list_source& list);

  void step(bool watching);
  void read_list();
  void read_announcements();
  void watch_announcements(std::int64_t revision);
  void take_announcements(const std::vector<platform::key_value>& found);
  void follow_configuration(bool watching);
  void take_configuration();
  // How long to wait after a reading; to be called under the lock.
  duration pause_after(bool answered, duration watching_pause);
  void offer_peers_configuration();

  agent_board& board_;
  platform::client& client_;
  platform::vm_list_source& list_;
  config_follower::table_entry table_;
  std::unique_ptr<config_follower> follower_;
  bool following_ = false;
  time_point next_slow_follow_;
  time_point slow_follow_ends_;
  std::uint64_t offered_ = 0;

  std::mutex mutex_;
  bool watching_ = false;
  bool reading_list_ = false;
  bool reading_announcements_ = false;
  time_point next_list_;
  time_point next_announcements_;
  std::unique_ptr<platform::watch_handle> watch_;
  // Tells a watch's late failure from that of the present one.
  std::uint64_t watch_number_ = 0;
  bool watch_alive_ = false;
  // Failed readings since the last one that was answered.
  std::uint32_t failures_in_row_ = 0;
  random_source random_;
  std::uint64_t list_readings_ = 0;
  std::uint64_t failures_ = 0;
};

}  // namespace hawthornnotch::agent

#endif  // HAWTHORNNOTCH_AGENT_PLATFORM_FEED_H_
