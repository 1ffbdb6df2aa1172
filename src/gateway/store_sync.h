// Follows the configuration and the server list in the platform's store.
#ifndef HAWTHORNNOTCH_SRC_GATEWAY_STORE_SYNC_H_
#define HAWTHORNNOTCH_SRC_GATEWAY_STORE_SYNC_H_

#include <functional>
#include <span>
#include <string_view>

#include "gateway_state.h"
#include "hawthornnotch/platform/client.h"
#include "hawthornnotch/relay/confirmation.h"
#include "hawthornnotch/relay/reading_schedule.h"
#include "ticker.h"

namespace hawthornnotch::gateway::internal {

// Who is called when something else is known.
struct update_listeners {
  // A newer configuration is in force, or a server leaves or is gone.
  std::function<void()> changed;
  // The store was restored from an older copy.
  std::function<void()> restored;
};

// Takes over what comes from the store or from a peer, and says what changed.
class state_updater {
 public:
  state_updater(gateway_state& shared, update_listeners listeners)
      : shared_(shared), listeners_(std::move(listeners)) {}
  // What became of a configuration.
  enum class config_outcome : std::uint8_t {
    // It is in force, now or already.
    in_force,
    // A newer one is in force.
    outdated,
    unreadable,
  };
  // \param source for the log: where the text comes from.
  config_outcome apply_config(std::string text, std::string_view source);
  // Somebody has seen that this version was the newest.
  void confirm_config_version(std::int64_t version, const relay::confirmation& seen);
  void apply_list(servers::list_reading reading, std::string_view source);
  // The store, or a peer, names its era.
  void observe_era(std::int64_t era, std::string_view source);
  // A server says that it leaves.
  void apply_departure(const servers::departure& heard, std::string_view source);

 private:
  gateway_state& shared_;
  update_listeners listeners_;
};

// \returns the failure's name for logs.
std::string_view to_string(platform::failure_kind kind);

// Logs when a dependency is lost and regained.
class dependency_monitor {
 public:
  explicit dependency_monitor(std::string_view name) : name_(name) {}
  void on_success();
  void on_failure(std::string_view reason);

 private:
  std::string_view name_;
  std::uint32_t failures_ = 0;
};

// Follows the configuration in the store, in turn with the other entry VMs: most of the time one of
// them waits for changes and tells all others.
class config_watcher {
 public:
  config_watcher(gateway_state& shared, state_updater& updater, platform::polled_store& store,
                 const boost::asio::any_io_executor& executor);
  void start() { ticker_.start(); }

 private:
  void poll_if_due();
  // Reads the whole configuration.
  void read();
  // Asks for what came after the last confirmation.
  void await_changes();
  // What a call found: the configuration, or what became of it.
  struct config_reading {
    std::int64_t revision = 0;
    // When the store was known to hold it.
    time_point confirmed_at;
    std::vector<platform::key_value> items;
    // `store_era::restores` when the call began.
    std::uint64_t restores_at_call = 0;
  };
  // Takes over a configuration, and confirms what is known now as the newest, unless the newest
  // cannot be read.
  void apply(const config_reading& found);
  // \returns what became of the newest configuration among the items.
  state_updater::config_outcome apply_items(std::span<const platform::key_value> items);
  void on_call_failed(platform::failure_kind reason);
  // The next call reads the whole, after a pause.
  void schedule_full_read();

  gateway_state& shared_;
  state_updater& updater_;
  platform::polled_store& store_;
  ticker ticker_;
  relay::reading_schedule schedule_;
  // The next call reads the whole: the history behind the last confirmation is gone, or the newest
  // configuration could not be read or is older than the one in force.
  bool full_read_needed_ = false;
  dependency_monitor store_config_{"store_config"};
};

// Reads the server list, in turn with the other entry VMs: most of the time one of them reads for
// all.
class server_list_poller {
 public:
  server_list_poller(gateway_state& shared, state_updater& updater, platform::polled_store& store,
                     const boost::asio::any_io_executor& executor);
  void start() { ticker_.start(); }

 private:
  void poll_if_due();
  void read();
  // \param restores_at_call `store_era::restores` when the call began.
  void apply(const result<platform::read_outcome, platform::platform_failure>& answer,
             time_point called_at, std::uint64_t restores_at_call);
  [[nodiscard]] servers::list_reading reading_of(const platform::read_outcome& answer,
                                                 time_point called_at) const;
  // \returns the id of the newest reading known; 0 for none.
  [[nodiscard]] std::uint64_t newest_id() const;

  gateway_state& shared_;
  state_updater& updater_;
  platform::polled_store& store_;
  ticker ticker_;
  relay::reading_schedule schedule_;
  dependency_monitor store_list_{"store_list"};
};

}  // namespace hawthornnotch::gateway::internal

#endif  // HAWTHORNNOTCH_SRC_GATEWAY_STORE_SYNC_H_
