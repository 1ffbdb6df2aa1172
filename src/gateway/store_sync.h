// Keeps the configuration and the server list in sync with the platform's store.
#ifndef HAWTHORNNOTCH_SRC_GATEWAY_STORE_SYNC_H_
#define HAWTHORNNOTCH_SRC_GATEWAY_STORE_SYNC_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>

#include "gateway_state.h"
#include "hawthornnotch/platform/client.h"
#include "hawthornnotch/relay/confirmation.h"
#include "hawthornnotch/relay/reading_schedule.h"
#include "ticker.h"

namespace hawthornnotch::gateway::internal {

// Callbacks for updates of the shared state.
struct update_listeners {
  // A newer configuration is in force, or a server is leaving or was removed.
  std::function<void()> changed;
  // The store was restored from a backup.
  std::function<void()> restored;
  // A second software version appeared in these services.
  std::function<void(std::span<const std::string>)> versions_mixed;
};

// Applies updates from the store and from peers to the shared state, logs them, and calls the
// listeners.  Outdated and malformed updates are dropped and leave the state as it is.
//
// Ownership: refers to the state, which outlives it.  Thread safety: none.
class state_updater {
 public:
  state_updater(gateway_state& shared, update_listeners listeners)
      : shared_(shared), listeners_(std::move(listeners)) {}
  // Result of applying a configuration.
  enum class config_outcome : std::uint8_t {
    // It is in force, newly or already.
    in_force,
    // A newer one is in force.
    outdated,
    unreadable,
  };
  // \param source origin of the update, for logs: the store or a peer's name.
  config_outcome apply_config(std::string text, std::string_view source);
  // Records that `version` was seen to be the newest, by this VM or a peer.
  void confirm_config_version(std::int64_t version, const relay::confirmation& seen);
  void apply_list(servers::list_snapshot reading, std::string_view source);
  // Applies the store era that the store or a peer reports.  A higher one means a restore.
  void observe_era(std::int64_t era, std::string_view source);
  // Applies the announcement that a server is leaving.
  void apply_departure(const servers::departure& announced, std::string_view source);

 private:
  gateway_state& shared_;
  update_listeners listeners_;
};

// \returns the name of the failure in logs.
std::string_view to_string(platform::failure_kind kind);

// Logs when a dependency is lost and when it is regained.
class dependency_monitor {
 public:
  explicit dependency_monitor(std::string_view name) : name_(name) {}
  void on_success();
  void on_failure(std::string_view reason);

 private:
  std::string_view name_;
  std::uint32_t failures_ = 0;
};

// Watches the configuration in the store.  The entry VMs share the work: usually one of them
// watches and tells the others.
//
// After a failed call the next one waits for a backoff; the configuration in force stays.  The next
// call is a full read if the history after the last confirmation is gone, or if the configuration
// received is malformed or older than the one in force.
//
// Ownership: refers to the state, the updater and the store, which outlive it.  Thread safety:
// none.
class config_watcher {
 public:
  config_watcher(gateway_state& shared, state_updater& updater, platform::long_poll_store& store,
                 const boost::asio::any_io_executor& executor);
  void start() { ticker_.start(); }

 private:
  void poll_if_due();
  // Full read of the configuration.
  void read();
  // Waits for changes after the last confirmed revision.
  void await_changes();
  // Result of a read or watch call.
  struct config_reading {
    std::int64_t revision = 0;
    // When the store is known to have been in this state.
    time_point confirmed_at;
    std::vector<platform::key_value> items;
    // `store_era::restores` at the start of the call.
    std::uint64_t restores_at_call = 0;
  };
  // Applies a configuration and confirms the one in force as the newest, unless the newest is
  // malformed or the reading is outdated.
  void apply_reading(const config_reading& found);
  // \returns the result of applying the newest configuration among the items.
  state_updater::config_outcome apply_items(std::span<const platform::key_value> items);
  void on_call_failed(platform::failure_kind reason);
  // Makes the next call, after a pause, a full read.
  void schedule_full_read();

  gateway_state& shared_;
  state_updater& updater_;
  platform::long_poll_store& store_;
  ticker ticker_;
  relay::reading_schedule schedule_;
  // Set if the history after the last confirmation is gone, or if the newest configuration is
  // malformed or older than the one in force.
  bool full_read_needed_ = false;
  dependency_monitor store_config_{"store_config"};
};

// Polls the server list in the store.  The entry VMs share the work: usually one of them reads it
// and tells the others.
//
// After a failed call, or one during which the store was restored, the next one waits for a
// backoff; the last list stays.  Malformed entries are logged and skipped.
//
// Ownership: refers to the state, the updater and the store, which outlive it.  Thread safety:
// none.
class server_list_poller {
 public:
  server_list_poller(gateway_state& shared, state_updater& updater,
                     platform::long_poll_store& store,
                     const boost::asio::any_io_executor& executor);
  void start() { ticker_.start(); }
  // Waits for a list that was read no earlier than `since`, and reads it if none is on its way;
  // requests that wait share a reading.  \returns whether there is one.
  boost::asio::awaitable<bool> refresh(time_point since);

 private:
  void poll_if_due();
  void read();
  [[nodiscard]] bool is_read_since(time_point since) const;
  // \param restores_at_call `store_era::restores` at the start of the call.
  void apply_reading(const result<platform::read_outcome, platform::platform_failure>& answer,
                     time_point called_at, std::uint64_t restores_at_call);
  [[nodiscard]] servers::list_snapshot reading_of(const platform::read_outcome& answer,
                                                  time_point called_at);
  // Names an unreadable entry in the log, once; no more than `max_logged_entries`.
  void log_unreadable(std::string_view key);
  // \returns the id of the newest list known; 0 if there is none.
  [[nodiscard]] std::uint64_t newest_id() const;

  gateway_state& shared_;
  state_updater& updater_;
  platform::long_poll_store& store_;
  ticker ticker_;
  relay::reading_schedule schedule_;
  dependency_monitor store_list_{"store_list"};
  boost::asio::any_io_executor executor_;
  // When the newest call that is open was made.
  std::optional<time_point> reading_since_;
  static constexpr std::size_t max_logged_entries = 100;
  std::set<std::string, std::less<>> logged_entries_;
};

}  // namespace hawthornnotch::gateway::internal

#endif  // HAWTHORNNOTCH_SRC_GATEWAY_STORE_SYNC_H_
