// Follows the configuration and the server list in the platform's store.
#ifndef HAWTHORNNOTCH_SRC_GATEWAY_STORE_FOLLOWER_H_
#define HAWTHORNNOTCH_SRC_GATEWAY_STORE_FOLLOWER_H_

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string_view>

#include "hawthornnotch/platform/client.h"
#include "state.h"

namespace hawthornnotch::gateway::internal {

// Takes over what comes from the store or from a peer, and says what changed.
class knowledge {
 public:
  // \param changed called after a newer configuration, or a server that leaves or is gone.
  knowledge(state& shared, std::function<void()> changed)
      : shared_(shared), changed_(std::move(changed)) {}
  // \param source for the log: where the text comes from.
  void offer_config(std::string text, std::string_view source);
  void offer_list(servers::list_reading reading, std::string_view source);

 private:
  state& shared_;
  std::function<void()> changed_;
};

// \returns the failure's name for logs.
std::string_view to_string(platform::failure_kind kind);

// Pauses between tries while a dependency fails, and logs when it is lost and regained.
class dependency {
 public:
  explicit dependency(std::string_view name) : name_(name) {}
  void succeeded();
  // \returns how long to wait before the next try.
  duration failed_now(std::string_view why, random_source& random);

 private:
  std::string_view name_;
  std::uint32_t failures_ = 0;
};

// Reads the configuration, then watches it; reads again whenever the watch ends.
class config_follower {
 public:
  config_follower(state& shared, knowledge& known, platform::client& store,
                  const boost::asio::any_io_executor& executor);
  void start() { read(); }

 private:
  void read();
  void watch(std::int64_t revision);
  void retry_after(duration pause);
  void take(const std::vector<platform::key_value>& found);

  state& shared_;
  knowledge& known_;
  platform::client& store_;
  boost::asio::steady_timer timer_;
  std::unique_ptr<platform::watch_handle> watch_;
  dependency store_config_{"store_config"};
};

// Reads the server list when the newest reading, by this process or a peer, grows old.  The entry
// VMs take their turn by rank, so that in the usual case one of them reads for all.
class list_follower {
 public:
  list_follower(state& shared, knowledge& known, platform::client& store,
                const boost::asio::any_io_executor& executor);
  void start() { tick(); }

 private:
  void tick();
  void read();
  [[nodiscard]] duration longest_age() const;

  state& shared_;
  knowledge& known_;
  platform::client& store_;
  boost::asio::steady_timer timer_;
  bool reading_ = false;
  time_point not_before_;
  dependency store_list_{"store_list"};
};

}  // namespace hawthornnotch::gateway::internal

#endif  // HAWTHORNNOTCH_SRC_GATEWAY_STORE_FOLLOWER_H_
