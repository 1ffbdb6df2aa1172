// Gossip with the other entry VMs over HTTP.
#ifndef HAWTHORNNOTCH_SRC_GATEWAY_PEER_LINK_H_
#define HAWTHORNNOTCH_SRC_GATEWAY_PEER_LINK_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "crash_guard.h"
#include "gateway_state.h"
#include "hawthornnotch/net/http_server.h"
#include "hawthornnotch/relay/exchange.h"
#include "store_sync.h"

namespace hawthornnotch::gateway::internal {

// Exchanges messages with one peer at a time at regular intervals, and with several at once when
// something changed.  Exchanges are short and independent, so an unresponsive peer does not delay
// others.  A failed exchange is reported to the peer set and not retried; a malformed answer is
// logged and dropped.
//
// Ownership: refers to the state and the updater, which outlive it.  Thread safety: none.
class peer_link {
 public:
  peer_link(gateway_state& shared, state_updater& updater, crash_guard& crashes,
            boost::asio::any_io_executor executor);
  void start() { tick(); }
  // Starts exchanges with peers now, without waiting for the next period.
  void notify_peers();
  // Starts exchanges as `notify_peers` does, but not more often than at a minimum interval: what
  // comes sooner is told at the next tick.
  void spread_news();
  // Serves an exchange started by a peer.  Answers 400 if the message can't be decoded.
  boost::asio::awaitable<void> handle_exchange(net::http_request request,
                                               net::response_writer& writer);

 private:
  void tick();
  void log_changes();
  void start_exchange(const endpoint& to);
  // Sends the state of this process.  Follows up with a second message if the answer shows that the
  // peer lacks something, so that a change does not wait for the peer's next exchange.
  boost::asio::awaitable<void> exchange(endpoint to);
  // Applies the peer's answer.  \returns it; none if the peer is unreachable or its answer is
  // malformed.
  boost::asio::awaitable<std::optional<relay::exchange_message>> send(
      const endpoint& to, const relay::exchange_message& message);
  void apply_message(const relay::exchange_message& message);
  void apply_peer_list(const relay::exchange_message& message);
  // What a process understands beyond its first release; it rejects messages that hold anything
  // else.
  struct peer_features {
    bool limits = false;
    bool suspicions = false;
    bool software_versions = false;
    bool records = false;
    bool declarations = false;
  };
  static peer_features announced_features(const net::header_list& headers);
  // Adds what the sender's headers tell of it and its message does not.
  static void add_announced(relay::exchange_message& message, const net::header_list& headers);
  [[nodiscard]] peer_features features_of(const endpoint& peer) const;
  [[nodiscard]] relay::exchange_message compose_message(const peer_features& understood);
  void apply_limits(const relay::exchange_message& message);
  void apply_records(const relay::exchange_message& message);
  // \returns whether the sender of `theirs` has an older one than this VM.
  [[nodiscard]] bool lacks_config(const relay::exchange_message& theirs) const;
  [[nodiscard]] bool lacks_list(const relay::exchange_message& theirs) const;
  // Adds the configuration and the server list if `theirs` shows older ones.
  void add_missing(relay::exchange_message& message, const relay::exchange_message& theirs,
                   const peer_features& understood) const;

  gateway_state& shared_;
  state_updater& updater_;
  crash_guard& crashes_;
  boost::asio::any_io_executor executor_;
  boost::asio::steady_timer timer_;
  // By peer, as ADDRESS:PORT: what its last answer announced.
  std::map<std::string, peer_features> features_;
  // When news was last spread.
  time_point news_spread_at_;
  bool news_waiting_ = false;
};

}  // namespace hawthornnotch::gateway::internal

#endif  // HAWTHORNNOTCH_SRC_GATEWAY_PEER_LINK_H_
