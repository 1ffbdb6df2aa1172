// An entry VM that knows nothing and keeps what it is told.
#ifndef HAWTHORNNOTCH_TESTS_GATEWAY_LISTENING_PEER_H_
#define HAWTHORNNOTCH_TESTS_GATEWAY_LISTENING_PEER_H_

#include <vector>

#include "hawthornnotch/relay/exchange.h"
#include "world.h"

namespace hawthornnotch::test {

class listening_peer {
 public:
  explicit listening_peer(loopback& around);
  [[nodiscard]] endpoint address() const { return server_.address(); }
  [[nodiscard]] std::vector<relay::exchange_message> heard();

 private:
  fake_server server_;
};

}  // namespace hawthornnotch::test

#endif  // HAWTHORNNOTCH_TESTS_GATEWAY_LISTENING_PEER_H_
