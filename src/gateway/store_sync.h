// Follows the configuration and the server list in the platform's store.
#ifndef HAWTHORNNOTCH_SRC_GATEWAY_STORE_FOLLOWER_H_
#define HAWTHORNNOTCH_SRC_GATEWAY_STORE_FOLLOWER_H_

#include <functional>
#include <span>
#include <string_view>

#include "hawthornnotch/platform/client.h"
#include "hawthornnotch/relay/confirmation.h"
#include "hawthornnotch/relay/reading_schedule.h"
#include "state.h"
#include "ticker.h"

namespace hawthornnotch::gateway::internal {

// Who is called when something else is known.
struct knowledge_listeners {
  // A newer configuration is in force, or a server leaves or is gone.
  std::function<void()> changed;
  // The store was restored from an older copy.
  std::function<void()> restored;
};

// Takes over what comes from the store or from a peer, and says what changed.
class knowledge {
 public:
  knowledge(state& shared, knowledge_listeners listeners)
      : shared_(shared), listeners_(std::move(listeners)) {}
  // What became of a configuration.
  enum class config_offer : std::uint8_t {
    // It is in force, now or already.
    in_force,
    // A newer one is in force.
    outdated,
    unreadable,
  };
  // \param source for the log: where the text comes from.
  config_offer offer_config(std::string text, std::string_view source);
  // Somebody has seen that this version was the newest.
  void confirm_config(std::int64_t version, const relay::confirmation& seen);
  void offer_list(servers::list_snapshot reading, std::string_view source);
  // The store, or a peer, names its era.
  void hear_era(std::int64_t era, std::string_view source);
  // A server says that it leaves.
  void hear_departure(const servers::departure& observed, std::string_view source);

 private:
  state& shared_;
  knowledge_listeners listeners_;
};

// \returns the failure's name for logs.
std::string_view to_string(platform::failure_kind kind);

// Logs when a dependency is lost and regained.
class dependency {
 public:
  explicit dependency(std::string_view name) : name_(name) {}
  void succeeded();
  void failed_now(std::string_view why);

 private:
  std::string_view name_;
  std::uint32_t failures_ = 0;
};

// Follows the configuration in the store, in turn with the other entry VMs: most of the time one of
// them waits for changes and tells all others.
class config_follower {
 public:
  config_follower(state& shared, knowledge& known, platform::long_poll_store& store,
                  const boost::asio::any_io_executor& executor);
  void start() { ticker_.start(); }

 private:
  void call_if_due();
  // Reads the whole configuration.
  void read();
  // Asks for what came after the last confirmation.
  void await_changes();
  // What a call found: the configuration, or what became of it.
  struct finding {
    std::int64_t revision = 0;
    // When the store was known to hold it.
    time_point at;
    std::vector<platform::key_value> items;
    // `store_era::restores` when the call began.
    std::uint64_t asked_in = 0;
  };
  // Takes over a configuration, and confirms what is known now as the newest, unless the newest
  // cannot be read.
  void take(const finding& found);
  // \returns what became of the newest configuration among the items.
  knowledge::config_offer offer(std::span<const platform::key_value> items);
  void failed_now(platform::failure_kind why);
  // The next call reads the whole, after a pause.
  void begin_again();

  state& shared_;
  knowledge& known_;
  platform::long_poll_store& store_;
  ticker ticker_;
  relay::reading_schedule schedule_;
  // The next call reads the whole: the history behind the last confirmation is gone, or the newest
  // configuration could not be read or is older than the one in force.
  bool read_whole_ = false;
  dependency store_config_{"store_config"};
};

// Reads the server list, in turn with the other entry VMs: most of the time one of them reads for
// all.
class list_follower {
 public:
  list_follower(state& shared, knowledge& known, platform::long_poll_store& store,
                const boost::asio::any_io_executor& executor);
  void start() { ticker_.start(); }

 private:
  void call_if_due();
  void read();
  // \param asked_in `store_era::restores` when the call began.
  void take(const result<platform::read_outcome, platform::platform_failure>& answer,
            time_point asked_at, std::uint64_t asked_in);
  [[nodiscard]] servers::list_snapshot reading_of(const platform::read_outcome& answer,
                                                  time_point asked_at) const;
  // \returns the id of the newest reading known; 0 for none.
  [[nodiscard]] std::uint64_t newest_id() const;

  state& shared_;
  knowledge& known_;
  platform::long_poll_store& store_;
  ticker ticker_;
  relay::reading_schedule schedule_;
  dependency store_list_{"store_list"};
};

}  // namespace hawthornnotch::gateway::internal

#endif  // HAWTHORNNOTCH_SRC_GATEWAY_STORE_FOLLOWER_H_
