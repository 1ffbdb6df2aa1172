// Follows the configuration and the server list in the platform's store.
#ifndef HAWTHORNNOTCH_SRC_GATEWAY_STORE_FOLLOWER_H_
#define HAWTHORNNOTCH_SRC_GATEWAY_STORE_FOLLOWER_H_

#include <functional>
#include <string_view>

#include "hawthornnotch/platform/client.h"
#include "hawthornnotch/relay/confirmation.h"
#include "hawthornnotch/relay/reading_schedule.h"
#include "state.h"
#include "ticker.h"

namespace hawthornnotch::gateway::internal {

// Takes over what comes from the store or from a peer, and says what changed.
class knowledge {
 public:
  // \param changed called after a newer configuration, or a server that leaves or is gone.
  knowledge(state& shared, std::function<void()> changed)
      : shared_(shared), changed_(std::move(changed)) {}
  // \param source for the log: where the text comes from.
  // \returns false if the text is no configuration that can be read.
  bool offer_config(std::string text, std::string_view source);
  // Somebody has seen that this version was the newest.
  void confirm_config(std::int64_t version, const relay::confirmation& seen);
  void offer_list(servers::list_reading reading, std::string_view source);

 private:
  state& shared_;
  std::function<void()> changed_;
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
  config_follower(state& shared, knowledge& known, platform::polled_store& store,
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
  };
  // Takes over a configuration, and confirms what is known now as the newest, unless the newest
  // cannot be read.
  void take(const finding& found);
  void failed_now(platform::failure_kind why);

  state& shared_;
  knowledge& known_;
  platform::polled_store& store_;
  ticker ticker_;
  relay::reading_schedule schedule_;
  // The next call reads the whole: the history behind the last confirmation is gone, or the newest
  // configuration could not be read.
  bool read_whole_ = false;
  dependency store_config_{"store_config"};
};

// Reads the server list, in turn with the other entry VMs: most of the time one of them reads for
// all.
class list_follower {
 public:
  list_follower(state& shared, knowledge& known, platform::polled_store& store,
                const boost::asio::any_io_executor& executor);
  void start() { ticker_.start(); }

 private:
  void call_if_due();
  void read();
  void take(const platform::read_outcome& answer, time_point asked_at);
  // \returns the id of the newest reading known; 0 for none.
  [[nodiscard]] std::uint64_t newest_id() const;

  state& shared_;
  knowledge& known_;
  platform::polled_store& store_;
  ticker ticker_;
  relay::reading_schedule schedule_;
  dependency store_list_{"store_list"};
};

}  // namespace hawthornnotch::gateway::internal

#endif  // HAWTHORNNOTCH_SRC_GATEWAY_STORE_FOLLOWER_H_
