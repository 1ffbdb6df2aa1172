// Exchanges knowledge with the other entry VMs over HTTP.
#ifndef HAWTHORNNOTCH_SRC_GATEWAY_PEER_LINK_H_
#define HAWTHORNNOTCH_SRC_GATEWAY_PEER_LINK_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>

#include "gateway_state.h"
#include "hawthornnotch/net/http_server.h"
#include "hawthornnotch/relay/exchange.h"
#include "store_sync.h"

namespace hawthornnotch::gateway::internal {

// One exchange after another, each with one peer; at once with all when something changed.
// Exchanges are short and independent: a peer that does not answer holds up no other.
class peer_link {
 public:
  peer_link(gateway_state& shared, state_updater& updater, boost::asio::any_io_executor executor);
  void start() { tick(); }
  // Tells peers now instead of in turn.
  void notify_peers();
  // Answers a peer's exchange.
  boost::asio::awaitable<void> handle(net::http_request request, net::response_writer& writer);

 private:
  void tick();
  void log_changes();
  void exchange_with(const endpoint& to);
  // Tells the peer what this process knows; a second message brings what its answer shows to be
  // missing there, so that a change does not wait for the peer's own turn.
  boost::asio::awaitable<void> exchange(endpoint to);
  // \returns the peer's answer, which was taken; none where there was none that can be read.
  boost::asio::awaitable<std::optional<relay::exchange_message>> send(
      const endpoint& to, const relay::exchange_message& message);
  void take(const relay::exchange_message& message);
  void take_list(const relay::exchange_message& message);
  [[nodiscard]] relay::exchange_message compose();
  // Adds what the receiver of the message was seen to lack.
  void add_missing(relay::exchange_message& message, const relay::exchange_message& theirs) const;

  gateway_state& shared_;
  state_updater& updater_;
  boost::asio::any_io_executor executor_;
  boost::asio::steady_timer timer_;
};

}  // namespace hawthornnotch::gateway::internal

#endif  // HAWTHORNNOTCH_SRC_GATEWAY_PEER_LINK_H_
